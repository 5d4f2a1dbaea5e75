#!/usr/bin/env python3
"""Prompts that crash servers, against the processes of the platform.

usage: crashing_prompts.py BUILD-FOLDER [--seeds A-B]

Servers end when they begin to answer a prompt with a certain part, and are
replaced. Requests with that part reach all entry nodes, beside harmless ones that
share their first part, while nodes are killed and restarted. In the end all nodes
are killed at once. Checks the users' rules: after the fifth crash and the settling
time at most three requests with the part reach servers, and harmless requests are
served at the first attempt at least half as often as before.
"""

import asyncio
import signal
import sys
import time
from types import SimpleNamespace

from backends import Backend, read_head
from seeds import play_seeds
from soak import Run

PART = "dead"
SETTLING_TIME_S = 3.0
LEARNING_CRASHES = 5
LATER_ARRIVALS = 3
QUIET_PHASE_S = 4.0
CRASH_PHASE_S = 14.0
SERVER_COUNT = 6


class CrashingBackend(Backend):
    """Reached directly: behind a link, its address would outlive it."""

    def __init__(self, run):
        super().__init__("draft", run.ledger, run.random)
        self.run = run

    async def start(self):
        self.link = SimpleNamespace(port=0)
        await super().start()
        self.link.port = self.port

    async def _write_stream(self, channel, target, request_id, headers, fault, due):
        if f"{PART}:" in headers.get("prefix-hash", ""):
            asyncio.get_running_loop().create_task(self.run.crash(self))
            return False
        return await super()._write_stream(channel, target, request_id, headers, fault,
                                           due)


class CrashingRun(Run):
    def __init__(self, build, seed, slot):
        super().__init__(build, seed, slot)
        self.crashes = []
        # (time, served) of harmless requests.
        self.harmless = []
        self.sent = 0

    async def add_backend(self, service, port=0, link=None):
        if service != "draft" or sum(b.service == "draft" for b in self.backends) \
                >= SERVER_COUNT:
            return
        backend = CrashingBackend(self)
        await backend.start()
        self.backends.append(backend)
        await self.write_server_row(backend)

    async def crash(self, backend):
        if backend.state == "crashed":
            return
        backend.state = "crashed"
        self.crashes.append(time.monotonic())
        await backend.stop()
        await asyncio.sleep(1.0)
        self.backends.remove(backend)
        await self.remove_server_row(backend)
        await self.add_backend("draft")

    async def send(self, is_harmless):
        self.sent += 1
        parts = "5afe:40," + ("" if is_harmless else f"{PART}:30,") + f"{self.sent:x}:9"
        name = f"{'harmless' if is_harmless else 'crashing'}-{self.sent}"
        node = self.random.choice(self.nodes)
        served = False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*node.traffic_address), 1)
            writer.write(
                f"POST /draft/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\n"
                f"Authorization: Bearer key-one\r\nDeadline-Ms: 3000\r\n"
                f"Prefix-Hash: {parts}\r\nContent-Length: 0\r\n\r\n".encode())
            first, _ = await asyncio.wait_for(read_head(reader), 4)
            served = " 200 " in first
            if served:
                await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 4)
            writer.transport.abort()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            served = False  # Counted as not served.
        if is_harmless:
            self.harmless.append((time.monotonic(), served))

    async def send_each(self, interval_s, is_harmless, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.send(is_harmless)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    async def restart_nodes(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(1.5, 3.0))
            await self.fault_kill()

    def served_share(self, begin, end):
        served = [s for at, s in self.harmless if begin <= at < end]
        return sum(served) / max(1, len(served))

    def crashing_arrivals(self, begin):
        return sum(name.startswith("crashing") and at > begin
                   for at, name, _ in self.ledger.arrivals)

    async def execute(self):
        await self.start()
        try:
            await asyncio.sleep(2.5)
            begin = time.monotonic()
            crash_from = begin + QUIET_PHASE_S
            all_killed_at = crash_from + CRASH_PHASE_S
            until = all_killed_at + 8
            harmless = asyncio.create_task(self.send_each(0.05, True, until))
            await asyncio.sleep(QUIET_PHASE_S)
            crashing = asyncio.create_task(self.send_each(0.25, False, until))
            await self.restart_nodes(all_killed_at - 4)
            await asyncio.sleep(max(0, all_killed_at - time.monotonic()))
            for node in self.nodes:
                node.send_signal(signal.SIGKILL)
            for node in self.nodes:
                await node.wait_for_exit(5)
                node.start()
            await asyncio.gather(harmless, crashing)
            return self.violations(begin, crash_from, all_killed_at, until)
        finally:
            self.kill_all()

    def violations(self, begin, crash_from, all_killed_at, until):
        found = []
        learnt_at = until
        if len(self.crashes) >= LEARNING_CRASHES:
            learnt_at = self.crashes[LEARNING_CRASHES - 1] + SETTLING_TIME_S
        later = self.crashing_arrivals(learnt_at)
        if later > LATER_ARRIVALS:
            found.append(f"{later} crashing requests reached servers after the fifth "
                         f"crash and the settling time; {len(self.crashes)} crashes")
        before = self.served_share(begin, crash_from)
        for name, since, end in [
                ("crashing requests", crash_from + 2 * SETTLING_TIME_S, all_killed_at),
                ("the loss of all nodes", all_killed_at + 4, until)]:
            after = self.served_share(since, end)
            if after < before / 2:
                found.append(f"served {after:.2f} of the harmless requests after {name}, "
                             f"{before:.2f} before")
        return found


async def run_seed(options, seed):
    run = CrashingRun(options.build, seed, slot=11)
    failures = await run.execute()
    print(f"seed {seed}: {len(run.crashes)} crashes, {run.crashing_arrivals(0)} crashing "
          f"requests at servers, {len(run.harmless)} harmless ones, "
          f"{len(failures)} rules violated", flush=True)
    for failure in failures:
        print(f"  seed {seed}: {failure}, logs in {run.dir}")
    return not failures


if __name__ == "__main__":
    sys.exit(play_seeds(__doc__, run_seed))
