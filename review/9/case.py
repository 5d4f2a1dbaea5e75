"""A replica fails a part of its requests after it has run them."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib-2"))
from harness import Fleet, Server, config, read_message, route, run_case  # noqa: E402

RUN_S = 12
GREY_FROM_S, GREY_FOR_S = 2.0, 6.5
FAILED_SHARE = 0.45
CALLERS = 8
PROMISES = (408, 421, 429, 503)


class GreyServer(Server):
    """While it is grey, it answers a part of what it has run with 503. It doesn't say
    that it has not run them: Not-Executed is missing."""

    def __init__(self, is_grey, begun):
        super().__init__("portal", slots=6)
        self.is_grey, self.begun = is_grey, begun
        self.random = random.Random(4)

    async def answer(self, first, headers, body, reader, writer):
        self.note_run(first, headers, body)
        await asyncio.sleep(0.06)
        at = time.monotonic() - self.begun[0]
        fails = (self.is_grey and GREY_FROM_S <= at < GREY_FROM_S + GREY_FOR_S
                 and self.random.random() < FAILED_SHARE)
        self.write(writer, headers, 503 if fails else 200, b"issued")
        await writer.drain()
        return True


async def call(fleet, name, until, results):
    """Issues one certificate after the other. Comes back once after a promise that
    the request has not run, under a new id, as PROTOCOL.md tells requesters."""
    number = 0
    while time.monotonic() < until:
        number += 1
        for attempt in (1, 2):
            request_id = f"{name}-{number}-{attempt}"
            reader, writer = await asyncio.open_connection(*fleet.front(0))
            writer.write(("POST /issue/x HTTP/1.1\r\nHost: h.example\r\n"
                          f"Request-Id: {request_id}\r\nAuthorization: Bearer key-one\r\n"
                          "Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n").encode())
            first, headers, _ = await asyncio.wait_for(read_message(reader), 6)
            writer.transport.abort()
            status = int(first.split(" ")[1])
            results.append((f"{name}-{number}", request_id, status, headers))
            if status not in PROMISES:
                break
            await asyncio.sleep(float(headers.get("retry-after", 0)))
        await asyncio.sleep(0.1)


async def main(record, trouble):
    fleet = Fleet(74, nodes=1)
    begun = [time.monotonic() + 1e6]
    servers = [GreyServer(trouble and i == 0, begun) for i in range(3)]
    await fleet.start(config(3, [route("issue", "unsafe", "portal")], ["portal"]), servers)
    try:
        results = []
        begun[0] = time.monotonic()
        until = begun[0] + RUN_S
        await asyncio.gather(*[call(fleet, f"c{i}", until, results)
                               for i in range(CALLERS)])
        runs = {}
        for server in servers:
            for _, request_id, *_ in server.runs:
                runs.setdefault(request_id, []).append(server.id)
        record(f"{len(results)} requests, {sum(map(len, runs.values()))} runs")
        broken = twice = 0
        for operation, request_id, status, headers in results:
            is_broken = status in PROMISES and request_id in runs
            broken += is_broken
            if is_broken:
                again = f"{operation}-2"
                is_twice = request_id.endswith("-1") and again in runs
                twice += is_twice
                record(f"{request_id}: {status}, stamp {headers.get('server-stamp')}, run by "
                       f"{runs[request_id]}: REFUSED, AND HAS RUN"
                       + (f"; came back as {again} and ran again" if is_twice else ""))
        record(f"{broken} requests refused that have run; {twice} operations ran twice")
        return int(broken > 0)
    finally:
        fleet.stop()


run_case(main, __file__)
