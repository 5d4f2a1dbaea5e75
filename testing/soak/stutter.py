#!/usr/bin/env python3
"""Servers that answer twice, the second time late, without any other disturbance.

usage: stutter.py BUILD-FOLDER [--seeds A-B] [--nodes N] [--share X]

Three of five servers repeat a share of their answers and refusals: at once, late, after
the next request or within the next stream, in one write or in pieces, with and without
a length, with their own or another request's id, whole or broken off within the head or
the body. Checks what callers got, as soak.py does.
"""

import asyncio
import sys
import time

import invariants
from answers import draw_repetition
from backends import Backend
from callers import Caller, PatientCaller
from nodes import Node
from seeds import play_seeds
from soak import PATHS, PATIENT_PATHS, Run

START_S, PLAY_S = 2.5, 25.0
SERVICES = ["pay", "pay", "pay", "pay", "draft", "draft", "draft", "draft", "m0", "m1",
            "m2"]
CALLERS_PER_NODE = 12
STUTTERING_SERVERS = 0.6
# Share of the repetitions that break off.
BROKEN_OFF_SHARE = 0.3
# Fewer bytes at the end of a body may be its own.
MIN_BYTES = 10


class StutteringBackend(Backend):
    def _draw_fault(self, target, is_continued):
        if self.random.random() >= self.spoiled_share:
            return None
        return self.random.choice(["repeat", "repeat", "repeat", "decline_again"])

    def _draw_repetition(self, answer):
        other_id = self.random.choice(
            [id for _, id, at in self.ledger.arrivals[-500:] if at is self])
        repetition = draw_repetition(self.random, answer, other_id)
        if self.random.random() < BROKEN_OFF_SHARE:
            size = self.random.randrange(MIN_BYTES, len(repetition.data))
            repetition.data = repetition.data[:size]
        return repetition


class StutterRun(Run):
    def __init__(self, build, seed, share, node_count):
        super().__init__(build, seed, slot=13)
        self.share = share
        self.node_count = node_count
        # Nothing is planned and no fault is injected.
        self.has_planned_work_only = True

    async def add_backend(self, service, port=0, link=None):
        if len(self.backends) >= len(SERVICES):
            return
        backend = StutteringBackend(SERVICES[len(self.backends)], self.ledger, self.random)
        if self.random.random() < STUTTERING_SERVERS:
            backend.spoiled_share = self.share
        await backend.start()
        self.backends.append(backend)
        await self.write_server_row(backend)

    async def start(self):
        await super().start()
        while len(self.backends) < len(SERVICES):
            await self.add_backend("")
        for index in range(len(self.nodes) + 1, self.node_count + 1):
            node = Node(self, index)
            self.nodes.append(node)
            await node.store_link.start()
            node.write_settings()
            node.start()

    async def execute(self):
        await self.start()
        try:
            background = [asyncio.create_task(n.probe()) for n in self.nodes]
            background.append(asyncio.create_task(self.watch()))
            await asyncio.sleep(START_S)
            until = time.monotonic() + PLAY_S
            count = CALLERS_PER_NODE * self.node_count
            callers = [
                Caller(i, self.nodes, self.random, self.requests, PATHS) if i % 2 else
                PatientCaller(i, self.nodes, self.random, self.requests, PATIENT_PATHS)
                for i in range(count)]
            await asyncio.gather(*(c.run(until) for c in callers))
            self.has_ended = True
            for task in background:
                task.cancel()
            failures = list(self.process_failures)
            for request in self.requests:
                executions = self.ledger.executions.get(request.id, [])
                failures += invariants.check_executions(request, executions)
                failures += invariants.check_response(self, request, executions)
            return failures
        finally:
            self.kill_all()


async def run_seed(options, seed):
    run = StutterRun(options.build, seed, options.share, options.nodes)
    failures = await run.execute()
    repeated = len(run.ledger.disturbed)
    print(f"seed {seed}: {len(run.requests)} requests, {repeated} beside repetitions, "
          f"{sum(r.status == 200 and r.outcome == 'complete' for r in run.requests)} "
          f"served, {len(failures)} invariants violated", flush=True)
    for failure in failures[:8]:
        print(f"  seed {seed}: {failure}")
    if failures:
        print(f"  logs in {run.dir}")
    return not failures


def add_options(parser):
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--share", type=float, default=0.03)


if __name__ == "__main__":
    sys.exit(play_seeds(__doc__, run_seed, add_options))
