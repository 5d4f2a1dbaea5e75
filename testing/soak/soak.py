#!/usr/bin/env python3
"""Randomised fault injection against the processes of the platform.

usage: soak.py BUILD-FOLDER [--seeds A-B,C | --fresh SECONDS] [--jobs N]
               [--all]

Each seed starts entry nodes and a store, simulates callers and backend servers
in this process, and injects faults: links that delay or reset their connections
or forward nothing in one or both directions; signals that stop, pause and kill
nodes, which are then restarted; a store that is down, slow, loses responses,
forgets its history or is restored from an older copy; backend servers that spoil,
repeat or cut their responses, ask for a pause, leave, crash and pass their address
on to another service; odd rows in the list of servers; connections that fall
silent. The invariants are checked on what callers and backend servers recorded;
those on the content of responses hold during faults too. Seeds in
regressions.txt are always included. A draw that shows a fault in KNOWN-RED.txt is
passed over, except with --all.
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
from backends import Backend, Ledger
from callers import Caller, PatientCaller
from faults import Faults, passed_over
from nodes import Node

FOLDER = os.path.dirname(os.path.abspath(__file__))
KNOWN_RED = os.path.join(FOLDER, "../../KNOWN-RED.txt")
FAULT_PHASE_S = 10.0
# The platform allows 12 s for recovery; requests are measured after this shorter
# phase.
RECOVERY_PHASE_S = 5.0
MEASURED_PHASE_S = 2.0
CALLER_COUNT = 16
PATIENT_CALLER_COUNT = 12
NODE_COUNT = 3
PATHS = ["/pay/", "/look/", "/draft/", "/once/", "/moved/"]
# Share of the servers that spoil answers, and of the answers that they spoil.
SPOILING_SERVERS, SPOILED_SHARE = 0.6, 0.08
PATIENT_PATHS = ["/pay/", "/long/", "/long/"]


class Run(Faults):
    """The run of one seed.

    Runs at the same time have different slots, and thereby different loopback
    addresses.
    """

    def __init__(self, build, seed, slot, passed_over=frozenset()):
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
        self.late_callers = 0
        self.passed_over = passed_over
        # Every fourth seed has planned operations only, which must not cut any
        # request. Another fourth has, besides, faults of which the nodes recover at
        # once, so that the promises with a time are judged.
        self.has_planned_work_only = seed % 4 == 0
        self.has_brief_faults_only = seed % 4 == 2

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
        has acknowledged it. Bytes are written as they are."""
        entry = {"table": table, "part": "", "key": key}
        change = {"remove": [entry]}
        if value is not None:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            entry["value"] = base64.b64encode(data).decode()
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
            self.route("once", "streaming", "draft", 2, resumable=False),
            self.route("long", "streaming", "draft", 3, timeoutMs=21000),
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
    def route(name, kind, service, max_attempts, **other):
        return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/",
                "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
                "priority": 1, "service": service, "maxAttempts": max_attempts,
                "public": False, "resumable": kind == "streaming",
                "gapTargetMs": 120, **other}

    async def add_backend(self, service, port=0, link=None):
        backend = Backend(service, self.ledger, self.random, port)
        backend.link = link
        if not self.has_planned_work_only and self.random.random() < SPOILING_SERVERS:
            backend.spoiled_share = SPOILED_SHARE
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
            callers += [
                PatientCaller(200 + i, self.nodes, self.random, self.requests,
                              PATIENT_PATHS) for i in range(PATIENT_CALLER_COUNT)]
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


async def run_seed(build, seed, slot, skipped):
    run = Run(build, seed, slot, skipped)
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
    parser.add_argument("--all", action="store_true")
    options = parser.parse_args()
    if not options.all:
        for draw in sorted(passed_over(KNOWN_RED)):
            print(f"passed over, since KNOWN-RED.txt lists what it shows: {draw}")
    seeds = regression_seeds()
    for part in filter(None, options.seeds.split(",")):
        first, _, last = part.partition("-")
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
                [sys.executable, __file__, options.build, "--one", str(seed), str(slot),
                 "--all" if options.all else ""])
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
            run_seed(sys.argv[1], int(sys.argv[at + 1]), int(sys.argv[at + 2]),
                     frozenset() if "--all" in sys.argv else passed_over(KNOWN_RED)))
        sys.exit(0 if passed else 1)
    sys.exit(main())
