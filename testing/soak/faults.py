"""Faults and planned operations that a run plays."""

import asyncio
import signal
import time

from backends import FAULT_MODES
from callers import LateCaller
from nodes import SHUTDOWN_GRACE_S
from rows import odd_row

# Longest time from a crash until the row of the crashed server is removed, if the
# server does not restart.
CRASHED_ROW_LIFETIME_S = 3.6
# Time from the first request of a LateCaller to the stop of its node, and range of
# the time from there to its stream.
LATE_CALLER_COUNT = 8
LATE_CALLER_LEAD_S = 0.3
LATE_CALL_AFTER_STOP_S = (2.0, 4.0)
# Time from the silence of the store's connections to a server's leaving, and time for
# which a late node would still use that server.
SILENT_BEFORE_LEAVE_S = (0.1, 0.6)
SILENT_LEAVE_S = 5.0


# What is drawn unless KNOWN-RED.txt lists a fault that it shows.
SHOWN_BY = {"review/3": "odd rows", "review/4": "late callers",
            "review/5": "silence of the store"}


def passed_over(path):
    """Returns what is not drawn, as KNOWN-RED.txt at the path lists what it shows."""
    with open(path, encoding="utf-8") as lines:
        listed = {line.strip() for line in lines}
    return {draw for entry, draw in SHOWN_BY.items() if entry in listed}


class Faults:
    """Faults (fault_*) and planned operations (plan_*) of a run. Each has its own
    duration; they may overlap."""

    async def fault_link(self):
        links = [b.link for b in self.backends if b.state == "ready"]
        links += [n.store_link for n in self.nodes] * 2
        link = self.random.choice(links)
        kind = self.random.choice(["delay", "reset", "cut_up", "cut_down", "silence"])
        length = self.random.uniform(0.3, 2.5)
        self.record_fault(f"link {kind}", length)
        if kind == "delay":
            link.delay_s = self.random.uniform(0.02, 0.3)
        elif kind == "reset":
            link.reset_all()
        else:
            link.cut_up = kind != "cut_down"
            link.cut_down = kind != "cut_up"
        await asyncio.sleep(length)
        link.clear_faults()

    async def fault_store(self):
        length = self.random.uniform(0.3, 2.5)
        fault, restored = self.random.choice([
            ({"down": True}, {"down": False}),
            ({"delay_ms": 400}, {"delay_ms": 0}),
            ({"lose_answers": 2}, {"lose_answers": 0}),
            ({"forget_history": True}, {})])
        self.record_fault(f"store {next(iter(fault))}", length)
        await self.call_store("/faults", fault)
        await asyncio.sleep(length)
        await self.call_store("/faults", restored)

    async def fault_restore(self):
        """Takes the store away for a moment and restores it from an older copy. The
        operator and the servers then write again what they wrote; the rows of
        servers that have left go once the store finds them silent."""
        down_s = self.random.uniform(0.0, 1.0)
        lost_s = self.random.uniform(0.5, 6.0)
        self.record_fault("store restore", down_s + CRASHED_ROW_LIFETIME_S)
        await self.call_store("/faults", {"down": True})
        await asyncio.sleep(down_s)
        await self.call_store("/faults", {"restore_s": lost_s})
        await self.call_store("/faults", {"down": False})
        if self.last_config:
            await self.write_row("op", "config", self.last_config)
        for backend in list(self.backends):
            await asyncio.sleep(self.random.uniform(0.0, 0.2))
            if backend in self.backends and backend.state in ("ready", "draining"):
                await self.write_server_row(backend)
        await asyncio.sleep(CRASHED_ROW_LIFETIME_S - 2.0)
        for server_id in list(self.removed_servers):
            await self.write_row("servers", server_id, None)

    async def fault_kill(self):
        node = self.random.choice(self.nodes)
        if not node.should_run:
            return
        node.should_run = False
        self.record_fault("kill", 1.0)
        node.send_signal(signal.SIGKILL)
        await node.wait_for_exit(5)
        await asyncio.sleep(self.random.uniform(0.05, 0.6))
        self.record_fault("start", 0.1)
        node.start()

    async def fault_pause(self):
        node = self.random.choice(self.nodes)
        length = self.random.uniform(0.2, 3.0)
        self.record_fault("pause", length)
        node.paused.append((time.monotonic(), time.monotonic() + length))
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        node.send_signal(signal.SIGCONT)

    async def plan_stop(self):
        node = self.random.choice(self.nodes)
        if not node.should_run or sum(n.should_run for n in self.nodes) < 2:
            return
        node.should_run = False
        count = 0 if "late callers" in self.passed_over else LATE_CALLER_COUNT
        late = [asyncio.create_task(self.call_late(node)) for _ in range(count)]
        await asyncio.sleep(LATE_CALLER_LEAD_S)
        now = time.monotonic()
        self.planned_operations.append(
            (now, now + SHUTDOWN_GRACE_S + 1, node.name, "stop"))
        node.send_signal(signal.SIGTERM)
        if not await node.wait_for_exit(SHUTDOWN_GRACE_S + 3):
            self.process_failures.append(
                f"{node.name} still runs {SHUTDOWN_GRACE_S + 3} s after SIGTERM")
            node.send_signal(signal.SIGKILL)
            await node.wait_for_exit(5)
        node.start()
        await asyncio.gather(*late)

    async def call_late(self, node):
        self.late_callers += 1
        caller = LateCaller(1000 + self.late_callers, [node], self.random,
                            self.requests, ["/pay/"])
        await caller.run_after(
            LATE_CALLER_LEAD_S + self.random.uniform(*LATE_CALL_AFTER_STOP_S))

    async def plan_reload(self):
        node = self.random.choice(self.nodes)
        node.write_settings()
        if self.random.random() < 0.7:
            node.send_signal(signal.SIGHUP)

    async def plan_config(self):
        for _ in range(self.random.choice([1, 1, 3])):
            await self.change_config()
            await asyncio.sleep(0.3)

    async def plan_drain(self, is_silent=None):
        """Drains one backend server and replaces it by a new one. It may be drawn whether
        the server says that it leaves."""
        old = self.random.choice([b for b in self.backends if b.state == "ready"])
        # Some servers never say that they leave.
        if is_silent is None:
            is_silent = self.random.random() < 0.4
        old.announces_leaving = old.announces_leaving and not is_silent
        old.state = "leaving"
        await self.add_backend(old.service)
        old.state = "draining"
        if is_silent:
            await self.remove_server_row(old)
        else:
            await self.write_server_row(old)
        old.drained_at = time.monotonic()
        await asyncio.sleep(4)
        self.backends.remove(old)
        await self.remove_server_row(old)
        await old.stop()

    async def fault_crash(self):
        """Stops a backend server without a drain. It either restarts under its id
        or is replaced, possibly by a server of another service at its address."""
        old = self.random.choice([b for b in self.backends if b.state == "ready"])
        old.state = "crashed"
        self.record_fault("crash", CRASHED_ROW_LIFETIME_S)
        await old.stop()
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.backends.remove(old)
        if self.random.random() < 0.5:
            # Restarts under the same id without any earlier state.
            old.state, old.started_at_ms = "ready", old.started_at_ms + 5000
            await old.start()
            self.backends.append(old)
            await self.write_server_row(old)
            return
        other = self.random.choice(["pay", "draft", "m0"])
        await self.add_backend(other, old.port, old.link)
        await asyncio.sleep(CRASHED_ROW_LIFETIME_S - 2.0)
        await self.remove_server_row(old)
        if other != old.service:
            await self.add_backend(old.service)

    async def fault_mode(self):
        """Some servers misbehave, each in its own way."""
        count = self.random.choice([1, 1, 2, 3])
        length = self.random.uniform(0.5, 2.5)
        backends = self.random.sample(self.backends, min(count, len(self.backends)))
        for backend in backends:
            backend.fault_mode = self.random.choice(FAULT_MODES)
            backend.fault_probability = self.random.choice([0.1, 0.5, 1.0])
            self.record_fault(f"backend server {backend.fault_mode}", length)
        await asyncio.sleep(length)
        for backend in backends:
            backend.fault_mode = None

    def silence(self, kind):
        """All connections of a kind that are open now forward nothing more and stay
        open; new ones work. Returns whether it is played."""
        if kind == "store" and "silence of the store" in self.passed_over:
            return False
        links = [n.store_link for n in self.nodes] if kind == "store" \
            else [b.link for b in self.backends]
        self.record_fault(f"silence {kind}", 0.0)
        for link in links:
            link.silence_all()
        return True

    async def fault_silent_leave(self):
        """A server leaves without a word before the nodes have replaced their silent
        connections to the store."""
        if self.silence("store"):
            await asyncio.sleep(self.random.uniform(*SILENT_BEFORE_LEAVE_S))
            await self.plan_drain(is_silent=True)

    async def fault_silence(self):
        if not self.silence(self.random.choice(["store", "servers"])):
            return
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self.plan_drain()

    async def plan_odd_row(self):
        """Another writer leaves an odd row, under its own or a server's id. No node is
        disturbed by that, so that no check is suspended."""
        if "odd rows" in self.passed_over:
            return
        backend = self.random.choice(self.backends)
        other = self.random.choice(["pay", "draft", "m0", "m1", "m2"])
        row = dict(backend.to_row(self.sequence + 1), service=other)
        is_live = backend.state == "ready" and self.random.random() < 0.5
        row_id = backend.id if is_live else f"i-odd-{self.random.getrandbits(32):08x}"
        await self.write_row("servers", row_id, odd_row(self.random, row))
        await asyncio.sleep(self.random.uniform(0.3, 2.5))
        if not is_live:
            await self.write_row("servers", row_id, None)
        elif backend in self.backends and backend.state == "ready":
            await self.write_server_row(backend)

    async def inject(self, until):
        kinds = [self.fault_link, self.fault_link, self.fault_store,
                 self.fault_restore, self.fault_kill, self.fault_pause,
                 self.plan_stop, self.plan_stop, self.plan_reload,
                 self.plan_config, self.plan_config, self.plan_drain, self.fault_crash,
                 self.fault_mode, self.fault_mode, self.fault_mode, self.fault_silence,
                 self.plan_odd_row, self.plan_odd_row, self.plan_odd_row]
        if self.has_planned_work_only or self.has_brief_faults_only:
            kinds = [k for k in kinds if k.__name__.startswith("plan")]
        if self.has_brief_faults_only:
            kinds += [self.fault_silence, self.fault_silence, self.plan_drain]
        tasks = []
        alone_until = 0.0
        if self.has_brief_faults_only:
            # Another silence would excuse what this one shows.
            alone_until = time.monotonic() + SILENT_LEAVE_S
            tasks.append(asyncio.create_task(self.fault_silent_leave()))
        while time.monotonic() < until:
            fault = self.random.choice(kinds)
            if fault != self.fault_silence or time.monotonic() > alone_until:
                tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)
