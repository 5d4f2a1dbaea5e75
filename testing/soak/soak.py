#!/usr/bin/env python3
"""Randomised fault injection against the processes of the platform.

usage: soak.py BUILD-FOLDER [--seeds A-B | --fresh SECONDS] [--jobs N]

Each seed starts entry nodes and a store, simulates callers and backend servers
in this process, and injects faults: links that delay or reset their connections
or forward nothing in one or both directions; signals that stop, pause and kill
nodes, which are then restarted; a store that is down, slow, loses responses,
forgets its history or is restored from an older copy; backend servers that send
faulty responses, ask for a pause, leave, crash and pass their address on to
another service. The invariants are checked on what
callers and backend servers recorded. Seeds in regressions.txt are always
included.
"""

import argparse
import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

import invariants
from backends import FAULT_MODES, Backend, Ledger
from callers import Caller
from links import Link

FOLDER = os.path.dirname(os.path.abspath(__file__))
FAULT_PHASE_S = 10.0
# The platform allows 12 s for recovery; requests are measured after this shorter
# phase.
RECOVERY_PHASE_S = 5.0
MEASURED_PHASE_S = 2.0
SHUTDOWN_GRACE_S = 4
CALLER_COUNT = 10
NODE_COUNT = 3
# Longest time from a crash until the row of the crashed server is removed, if the
# server does not restart.
CRASHED_ROW_LIFETIME_S = 3.6
PATHS = ["/pay/", "/look/", "/draft/", "/moved/"]


class Node:
    """One entry node process with its own link to the store."""

    def __init__(self, run, index):
        self.run = run
        self.name = f"entry-{index}"
        self.ip = f"127.{run.loopback_net}.1.{index}"
        self.traffic_address = (self.ip, run.ports[0])
        self.ready_address = (self.ip, run.ports[1])
        self.store_link = Link(("127.0.0.1", run.store_port))
        self.settings_path = os.path.join(run.dir, f"{self.name}.conf")
        self.popen = None
        # (begin, end) of the times in which it stood still.
        self.paused = []
        self.incarnation = 0
        self.in_rotation = False
        self.should_run = True
        self.failed_probes = 0

    def write_settings(self):
        seeds = ",".join(f"{n.ip}:1" for n in self.run.nodes)
        with open(self.settings_path, "w", encoding="utf-8") as out:
            out.write(
                f"node={self.name}\nip={self.ip}\nzone=z1\n"
                f"listen.front={self.ip}:{self.traffic_address[1]}\n"
                f"listen.ready={self.ip}:{self.ready_address[1]}\n"
                f"internalPorts={self.run.ports[2]},{self.run.ports[2] + 1}\n"
                f"seeds={seeds}\nprovider.address=127.0.0.1:{self.store_link.port}\n"
                f"limits.maxFds=2870\nbounds.graceS={SHUTDOWN_GRACE_S}\n"
                "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                "bounds.budgetSlack=180\n"
            )

    def start(self):
        self.incarnation += 1
        self.should_run = True
        with open(os.path.join(self.run.dir, f"{self.name}.log"), "ab") as log:
            self.popen = subprocess.Popen(
                [os.path.join(self.run.build, "platform/ragwort-platform-entry")],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"RAGWORTTHREAD_NODE_FILE": self.settings_path,
                     "PATH": os.environ["PATH"]},
            )

    def send_signal(self, signal_number):
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    async def wait_for_exit(self, limit_s):
        end = time.monotonic() + limit_s
        while self.popen.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.popen.poll() is not None

    async def probe(self):
        """Probes the readiness as a load balancer in front of the nodes does.

        A node is taken out of rotation after two failed probes in a row.
        """
        while True:
            is_ready = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.ready_address), 1)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                is_ready = b" 200 " in line
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError):
                pass  # Not ready.
            self.failed_probes = 0 if is_ready else self.failed_probes + 1
            self.in_rotation = is_ready or (self.in_rotation and self.failed_probes < 2)
            await asyncio.sleep(1)


class Run:
    """The run of one seed.

    Runs at the same time have different slots, and thereby different loopback
    addresses.
    """

    def __init__(self, build, seed, slot):
        self.build = build
        self.seed = seed
        self.random = random.Random(seed)
        self.loopback_net = 20 + slot
        self.dir = tempfile.mkdtemp(prefix=f"ragwort-soak-{seed}-")
        self.ledger = Ledger()
        self.requests = []
        self.backends = []
        self.rows = {}
        self.version = 0
        # (acknowledged at, version). The service of /moved/ rotates with the
        # version.
        self.acknowledged_versions = []
        self.last_config = None
        # Ids of the servers whose rows were removed.
        self.removed_servers = []
        # (begin, end, cause): times in which the time bounds are not checked.
        self.fault_windows = []
        # (begin, end, node, operation)
        self.planned_operations = []
        self.process_failures = []
        self.sequence = 0
        self.has_ended = False

    def record_fault(self, cause, length_s):
        now = time.monotonic()
        self.fault_windows.append((now, now + length_s, cause))

    async def call_store(self, path, body):
        """Calls the store directly, so that only faults of the store affect it.

        Returns whether the store responded with status 200.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.store_port)
        data = json.dumps(body).encode()
        writer.write(f"POST {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        response = await reader.read()
        writer.transport.abort()
        return b" 200 " in response.split(b"\r\n")[0]

    async def write_row(self, table, key, value):
        """Writes a row, or removes it if value is None, and retries until the store
        has acknowledged it."""
        entry = {"table": table, "part": "", "key": key}
        change = {"remove": [entry]}
        if value is not None:
            entry["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            change = {"upserts": [entry]}
        while not await self.call_store("/rows-tx", change):
            await asyncio.sleep(0.05)

    async def write_server_row(self, backend):
        self.sequence += 1
        await self.write_row("servers", backend.id, backend.to_row(self.sequence))

    async def remove_server_row(self, backend):
        self.removed_servers.append(backend.id)
        await self.write_row("servers", backend.id, None)

    async def change_config(self):
        version = self.version + self.random.randrange(1, 4)
        moved = f"m{version % 3}"
        routes = [
            self.route("pay", "unsafe", "pay", 1), self.route("look", "safe", "pay", 2),
            self.route("draft", "streaming", "draft", 2),
            self.route("moved", "safe", moved, 2),
        ]
        self.version = version
        self.last_config = {
            "version": version, "routes": routes,
            "services": [{"name": n} for n in ("pay", "draft", "m0", "m1", "m2")],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536,
                       "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "org-one", "apiKeys": ["key-one"]}]}
        await self.write_row("op", "config", self.last_config)
        self.acknowledged_versions.append((time.monotonic(), version))

    @staticmethod
    def route(name, kind, service, max_attempts):
        return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/",
                "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
                "priority": 1, "service": service, "maxAttempts": max_attempts,
                "public": False, "resumable": kind == "streaming", "gapTargetMs": 120}

    async def add_backend(self, service, port=0, link=None):
        backend = Backend(service, self.ledger, self.random, port)
        backend.link = link
        await backend.start()
        self.backends.append(backend)
        await self.write_server_row(backend)
        return backend

    async def start(self):
        self.store = subprocess.Popen(
            [os.path.join(self.build, "testing/standins/ragwort-standin"),
             "--kind", "platform", "--port", "0"],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, stdin=subprocess.DEVNULL)
        self.store_port = int(self.store.stdout.readline().decode().split("=")[1])
        self.ports = free_ports(f"127.{self.loopback_net}.1.1", 4)
        self.nodes = [Node(self, i) for i in range(1, NODE_COUNT + 1)]
        for service in ("pay", "pay", "pay", "draft", "draft", "draft", "m0", "m1", "m2"):
            await self.add_backend(service)
        await self.change_config()
        for node in self.nodes:
            await node.store_link.start()
            node.write_settings()
            node.start()

    # Faults (fault_*) and planned operations (plan_*). Each has its own duration;
    # they may overlap.

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

    async def plan_reload(self):
        node = self.random.choice(self.nodes)
        node.write_settings()
        if self.random.random() < 0.7:
            node.send_signal(signal.SIGHUP)

    async def plan_config(self):
        for _ in range(self.random.choice([1, 1, 3])):
            await self.change_config()
            await asyncio.sleep(0.3)

    async def plan_drain(self):
        """Drains one backend server and replaces it by a new one."""
        old = self.random.choice([b for b in self.backends if b.state == "ready"])
        old.state = "leaving"
        await self.add_backend(old.service)
        old.state = "draining"
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
        backend = self.random.choice(self.backends)
        length = self.random.uniform(0.5, 2.5)
        backend.fault_mode = self.random.choice(FAULT_MODES)
        backend.fault_probability = self.random.choice([0.1, 0.5, 1.0])
        self.record_fault(f"backend server {backend.fault_mode}", length)
        await asyncio.sleep(length)
        backend.fault_mode = None

    async def inject(self, until):
        kinds = [self.fault_link, self.fault_link, self.fault_store,
                 self.fault_restore, self.fault_kill, self.fault_pause, self.plan_stop, self.plan_stop, self.plan_reload,
                 self.plan_config, self.plan_config, self.plan_drain, self.fault_crash,
                 self.fault_mode, self.fault_mode]
        # Every fourth seed has planned operations only, which must not cut any
        # request.
        if self.seed % 4 == 0:
            kinds = [k for k in kinds if k.__name__.startswith("plan")]
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.random.choice(kinds)()))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)

    async def watch(self):
        """Records and restarts processes that exit unexpectedly, and records times at
        which the machine is too busy for the time bounds to be checked."""
        last = time.monotonic()
        while not self.has_ended:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - last > 0.25:
                self.fault_windows.append((last, now, "machine too busy"))
            last = now
            for node in self.nodes:
                if node.should_run and node.popen.poll() is not None:
                    self.process_failures.append(
                        f"{node.name} exited unexpectedly with {node.popen.returncode}")
                    node.start()

    async def execute(self):
        await self.start()
        try:
            background = [asyncio.create_task(n.probe()) for n in self.nodes]
            background.append(asyncio.create_task(self.watch()))
            self.record_fault("start", 2.5)
            await asyncio.sleep(2.5)
            started_at = time.monotonic()
            until = started_at + FAULT_PHASE_S + RECOVERY_PHASE_S + MEASURED_PHASE_S
            callers = [Caller(i, self.nodes, self.random, self.requests, PATHS)
                       for i in range(CALLER_COUNT)]
            tasks = [asyncio.create_task(c.run(until)) for c in callers]
            await self.inject(started_at + FAULT_PHASE_S)
            self.faults_ended_at = time.monotonic()
            measure_until = self.faults_ended_at + RECOVERY_PHASE_S + MEASURED_PHASE_S
            # The first callers stop at the planned end of the run. Faults may end later
            # than planned, so further callers run until the end of the measurement.
            recovery_callers = [
                Caller(100 + i, self.nodes, self.random, self.requests, PATHS)
                for i in range(CALLER_COUNT)]
            tasks += [asyncio.create_task(c.run(measure_until))
                      for c in recovery_callers]
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.5)
            self.has_ended = True
            for task in background:
                task.cancel()
            return invariants.find_violations(self)
        finally:
            self.kill_all()

    def kill_all(self):
        for node in self.nodes:
            if node.popen and node.popen.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal.SIGKILL)
                node.popen.wait()
        self.store.kill()
        self.store.wait()


def free_ports(ip, count):
    import socket
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
    return ports


async def run_seed(build, seed, slot):
    run = Run(build, seed, slot)
    failures = await run.execute()
    served = sum(r.outcome == "complete" and r.status == 200 for r in run.requests)
    print(f"seed {seed}: {len(run.requests)} requests, {served} served, "
          f"{len(run.fault_windows)} faults, {len(failures)} invariants violated",
          flush=True)
    for failure in failures[:8]:
        print(f"  seed {seed}: {failure}")
    if failures:
        print(f"  logs in {run.dir}", flush=True)
    return not failures


def regression_seeds():
    with open(os.path.join(FOLDER, "regressions.txt"), encoding="utf-8") as lines:
        return [int(line.split()[0]) for line in lines if line[0].isdigit()]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--fresh", type=float, default=0, metavar="SECONDS")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    seeds = regression_seeds()
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    end = time.monotonic() + options.fresh
    fresh = random.Random()

    # Each seed runs in its own process, so that the checks of one run do not
    # delay another run.
    running, results = {}, []
    slots = set(range(options.jobs))
    while seeds or running or time.monotonic() < end:
        while slots and (seeds or time.monotonic() < end):
            seed = seeds.pop(0) if seeds else fresh.randrange(10**9)
            slot = slots.pop()
            running[slot] = subprocess.Popen(
                [sys.executable, __file__, options.build, "--one", str(seed), str(slot)])
        for slot, child in list(running.items()):
            if child.poll() is not None:
                results.append(child.returncode == 0)
                slots.add(slot)
                del running[slot]
        time.sleep(0.05)
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if results and all(results) else 1


if __name__ == "__main__":
    # main() starts a process with "--one SEED SLOT" for each seed.
    if "--one" in sys.argv:
        at = sys.argv.index("--one")
        passed = asyncio.run(
            run_seed(sys.argv[1], int(sys.argv[at + 1]), int(sys.argv[at + 2])))
        sys.exit(0 if passed else 1)
    sys.exit(main())
