#!/usr/bin/env python3
"""Planned stops of entry nodes under load, without any other disturbance.

usage: stopping.py BUILD-FOLDER [--seeds A-B]

Nodes get SIGTERM one after the other, with overlaps, some of them twice or together
with SIGHUP. Callers keep their connections until a node is gone and come back once
after a refusal. Requests last 0.02 to 6 s, and the servers have so few slots that
some wait at the nodes. Prints for each stop what became of the requests that the
node had then or got later, and checks that no request that may run once fails or is
cut, and that refusals are true.
"""

import asyncio
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from answers import Answer, stream_event
from backends import Backend, read_head
from nodes import SHUTDOWN_GRACE_S
from seeds import play_seeds
from soak import Run

WARM_UP_S = 8.0
# Times of the signals after the warm-up; a stop takes about 8 s.
STOPS_S = [0.0, 4.0, 13.0]
RUN_S = 24.0
CALLER_COUNT = 80
SERVERS_PER_SERVICE = 2
SLOTS = (4, 8)
SHORTEST_S, LONGEST_S = 0.02, 6.0
DEADLINE_S = 8.0
EVENT_INTERVAL_S = 0.1
# Paths of requests that may run only once, and of streams.
ONCE, STREAMS = ("pay", "once"), ("draft", "once")
ROUTES = ("pay", "once", "look", "draft")


@dataclass
class Sent:
    id: str
    node: str
    incarnation: int
    route: str
    sent_at: float
    ended_at: float = 0.0
    # A status, or "cut" (the connection ended within or before the answer).
    outcome: str = ""
    # Outcome of the second try after a refusal.
    second: str = field(default="")


class TimedBackend(Backend):
    """Works on a request for as long as its path says."""

    slots = 0

    def to_row(self, sequence):
        return dict(super().to_row(sequence), slots=self.slots)

    async def _serve_one(self, channel):
        first, headers = await read_head(channel.reader)
        target = first.split(" ")[1]
        await channel.reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            return await self._write(channel, Answer(
                request_id, 421, f"Instance-Id: {self.id}\r\nNot-Executed: 1\r\n").whole())
        self.ledger.record_execution(request_id, self, headers, "")
        _, route, millis = target.split("/")
        length_s = int(millis) / 1000
        if route not in STREAMS:
            await asyncio.sleep(length_s)
            return await self._write(channel, Answer(
                request_id, 200, self._stamp_header(request_id), [b"done"]).whole())
        count = max(1, round(length_s / EVENT_INTERVAL_S))
        after = int(headers.get("last-event-id", 0))
        answer = Answer(
            request_id, 200,
            f"{self._stamp_header(request_id)}Content-Type: text/event-stream\r\n",
            framing="chunked")
        await self._write(channel, answer.head())
        for number in range(after + 1, count + 1):
            await asyncio.sleep(min(EVENT_INTERVAL_S, length_s))
            await self._write(channel, answer.framed(stream_event(request_id, number)))
        return await self._write(channel, answer.end())


class StoppingRun(Run):
    def __init__(self, build, seed):
        super().__init__(build, seed, slot=12)
        self.slots = self.random.choice(SLOTS)
        self.sent = []
        # (signal at, node name, incarnation).
        self.stops = []
        self.failures = []

    async def add_backend(self, service, port=0, link=None):
        of_service = sum(b.service == service for b in self.backends)
        if service not in ("pay", "draft") or of_service >= SERVERS_PER_SERVICE:
            return
        backend = TimedBackend(service, self.ledger, self.random)
        backend.slots = self.slots
        await backend.start()
        self.backends.append(backend)
        await self.write_server_row(backend)

    @staticmethod
    def route(name, kind, service, max_attempts, **other):
        # Waiting for a free place is a part of the load.
        return dict(Run.route(name, kind, service, max_attempts, **other),
                    timeoutMs=int(DEADLINE_S * 1000), targetLatencyMs=3000)

    async def heartbeats(self):
        while not self.has_ended:
            await asyncio.sleep(1.2)
            for backend in self.backends:
                await self.write_server_row(backend)

    async def call(self, caller, number, connection, node, path):
        """Sends a request. Returns (outcome, Retry-After or None, whether the node
        keeps the connection)."""
        reader, writer = connection
        route = path.split("/")[1]
        request = Sent(f"c{caller}-{number}", node.name, node.incarnation, route,
                       time.monotonic())
        self.sent.append(request)
        headers = {}
        try:
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request.id}\r\n"
                f"Authorization: Bearer key-one\r\nDeadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
                "Content-Length: 0\r\n\r\n".encode())
            first, headers = await asyncio.wait_for(read_head(reader), DEADLINE_S + 1)
            request.outcome = first.split(" ")[1]
            if headers.get("transfer-encoding") == "chunked":
                await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), DEADLINE_S + 1)
            else:
                await reader.readexactly(int(headers.get("content-length", 0)))
        except asyncio.TimeoutError:
            request.outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "cut"
        request.ended_at = time.monotonic()
        keeps = request.outcome.isdigit() and headers.get("connection") != "close"
        pause = headers.get("retry-after")
        return request, float(pause) if pause else None, keeps

    async def run_caller(self, caller, until):
        number, connection, node = 0, None, None
        while time.monotonic() < until:
            millis = int(1000 * self.random.uniform(SHORTEST_S, LONGEST_S))
            path = f"/{self.random.choice(ROUTES)}/{millis}"
            if not connection or connection[0].at_eof():
                node = self.random.choice([n for n in self.nodes if n.in_rotation]
                                          or self.nodes)
                connection = await self.connect(node)
                if not connection:
                    await asyncio.sleep(0.1)
                    continue
            number += 1
            request, pause, keeps = await self.call(caller, number, connection, node, path)
            if not keeps:
                connection[1].transport.abort()
                connection = None
            if request.outcome == "503":
                await asyncio.sleep(min(pause or 0.5, 2.0))
                other = self.random.choice([n for n in self.nodes if n is not node])
                second = await self.connect(other)
                request.second = "closed"
                if second:
                    number += 1
                    again, _, _ = await self.call(caller, number, second, other, path)
                    request.second = again.outcome
                    second[1].transport.abort()
            await asyncio.sleep(self.random.uniform(0, 0.3))
        if connection:
            connection[1].transport.abort()

    @staticmethod
    async def connect(node):
        try:
            return await asyncio.wait_for(
                asyncio.open_connection(*node.traffic_address), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def stop(self, node, delay_s):
        await asyncio.sleep(delay_s)
        self.stops.append((time.monotonic(), node.name, node.incarnation))
        node.should_run = False
        node.send_signal(signal.SIGTERM)
        for number in self.random.sample([signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
                                         self.random.randrange(3)):
            await asyncio.sleep(self.random.uniform(0.1, 2.0))
            node.send_signal(number)
        if not await node.wait_for_exit(SHUTDOWN_GRACE_S + 2):
            self.failures.append(f"{node.name} still runs {SHUTDOWN_GRACE_S + 2} s later")
        node.start()

    async def execute(self):
        await self.start()
        try:
            tasks = [asyncio.create_task(n.probe()) for n in self.nodes]
            tasks.append(asyncio.create_task(self.heartbeats()))
            await asyncio.sleep(2.5)
            until = time.monotonic() + WARM_UP_S + RUN_S
            callers = [self.run_caller(i, until) for i in range(CALLER_COUNT)]
            order = self.random.sample(self.nodes, len(self.nodes))
            stops = [self.stop(node, WARM_UP_S + at + self.random.uniform(0, 1.5))
                     for node, at in zip(order, STOPS_S)]
            await asyncio.gather(*callers, *stops)
            self.has_ended = True
            for task in tasks:
                task.cancel()
            return self.violations()
        finally:
            self.kill_all()

    def at_stop(self, begin, name, incarnation):
        """Requests that the node had at its stop or got later."""
        return [r for r in self.sent
                if (r.node, r.incarnation) == (name, incarnation) and r.ended_at > begin]

    def violations(self):
        found = list(self.failures)
        refused = []
        for stop in self.stops:
            requests = self.at_stop(*stop)
            refused += [r for r in requests if r.outcome == "503"]
            for kinds, label in ((ONCE, "once"), (("look", "draft"), "repeatable")):
                outcomes = Counter(r.outcome for r in requests if r.route in kinds)
                print(f"  {stop[1]} {label}: "
                      + ", ".join(f"{k} {n}" for k, n in sorted(outcomes.items())))
            for r in requests:
                ran = [e["at"] - stop[0] for e in self.ledger.executions.get(r.id, [])]
                # A request that the node has not read is closed without a run.
                if r.route in ONCE and (r.outcome == "502" or r.outcome == "cut" and ran):
                    found.append(f"{r.id} on {r.route}, sent {r.sent_at - stop[0]:.2f} s "
                                 f"after the signal to {stop[1]}, ended {r.outcome} after "
                                 f"{r.ended_at - stop[0]:.2f} s; runs: {ran}")
        for r in self.sent:
            runs = len(self.ledger.executions.get(r.id, []))
            if r.outcome == "503" and runs:
                found.append(f"{r.id} was executed but answered with 503")
            if r.route in ONCE and runs > 1:
                found.append(f"{r.id} was executed {runs} times")
        served = sum(r.second == "200" for r in refused)
        print(f"  refused by stopping nodes: {len(refused)}, served at the second try: "
              f"{served}; served in all: {sum(r.outcome == '200' for r in self.sent)} of "
              f"{len(self.sent)}")
        return found


async def run_seed(options, seed):
    run = StoppingRun(options.build, seed)
    failures = await run.execute()
    print(f"seed {seed}: {len(run.sent)} requests, {len(run.stops)} stops, "
          f"{len(failures)} rules violated", flush=True)
    for failure in failures[:8]:
        print(f"  seed {seed}: {failure}")
    if failures:
        print(f"  logs in {run.dir}")
    return not failures


if __name__ == "__main__":
    sys.exit(play_seeds(__doc__, run_seed))
