"""Simulated callers with persistent connections.

They record each request and its response; invariants.py checks them.
"""

import asyncio
import re
import time
from dataclasses import dataclass, field

from answers import stream_event
from backends import (LONG_EVENT_INTERVAL_S, is_stream, read_head, request_digest,
                      stream_events)

RESPONSE_TIMEOUT_S = 6.0
LONG_RESPONSE_TIMEOUT_S = 23.0
# Lengths of the streams of /long/, and of most of them.
LONG_STREAM_S = (1.0, 20.0)
USUAL_LONG_STREAM_S = (1.0, 3.0)
# Range of the events of a LateCaller's stream.
LATE_STREAM_EVENTS = (20, 70)
CONNECT_TIMEOUT_S = 1.0
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass
class CallerRequest:
    """One request of a caller, its response and its outcome."""

    id: str
    node: str
    path: str
    sent_at: float
    incarnation: int
    body: bytes = b""
    status: int = 0
    response_headers: dict = field(default_factory=dict)
    response_body: bytes = b""
    # "complete", "closed" (connection closed before the response began), "cut"
    # (connection closed within the response), "timeout" (the caller gave up) or
    # "garbled" (what arrived is no response).
    outcome: str = ""
    ended_at: float = 0.0
    # What arrived after the response although nothing was asked for.
    unasked: bytes = b""

    @property
    def digest(self):
        return request_digest("POST", self.path, self.body)


class Caller:
    """Sends requests one after the other until a given time."""

    # Range of the pauses between requests, in seconds.
    pauses_s = (0.01, 0.12)

    def __init__(self, number, nodes, random, requests, paths):
        self.number = number
        self.nodes = nodes
        self.random = random
        self.requests = requests
        self.paths = paths
        self.request_count = 0
        self._connection = None

    async def run(self, until):
        while time.monotonic() < until:
            await self._send_request(until)
            await asyncio.sleep(self.random.uniform(*self.pauses_s))
        await self._close_connection()

    async def _close_connection(self):
        if self._connection:
            _, reader, writer, last = self._connection
            if last:
                last.unasked += await read_pending(reader)
            writer.transport.abort()
        self._connection = None

    def _draw_path(self, until):
        path = self.random.choice(self.paths)
        if path != "/long/":
            return path + "a"
        shortest, longest = self.random.choice(
            [USUAL_LONG_STREAM_S, USUAL_LONG_STREAM_S, LONG_STREAM_S])
        left_s = until - time.monotonic()
        length_s = self.random.uniform(shortest, min(longest, max(2.0, left_s)))
        return f"{path}{int(length_s / LONG_EVENT_INTERVAL_S)}"

    async def _connect(self):
        # Reuses the connection with a probability of 90%, as long as the node keeps
        # it open.
        if self._connection and not self._connection[1].at_eof():
            if self._keeps_connection():
                return
        await self._close_connection()
        candidates = [n for n in self.nodes if n.in_rotation] or self.nodes
        node = self.random.choice(candidates)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*node.traffic_address), CONNECT_TIMEOUT_S
        )
        self._connection = (node, reader, writer, None)

    def _keeps_connection(self):
        return self.random.random() < 0.9

    async def _send_request(self, until):
        try:
            await self._connect()
        except (OSError, asyncio.TimeoutError):
            return
        node, reader, writer, last = self._connection
        if last:
            last.unasked += await read_pending(reader)
        self.request_count += 1
        body = b"x" * self.random.randrange(0, 400)
        request = CallerRequest(f"c{self.number}-{self.request_count}", node.name,
                                self._draw_path(until), time.monotonic(),
                                node.incarnation, body)
        self.requests.append(request)
        # With a probability of 4%, the caller gives up early.
        is_long = request.path.startswith("/long/")
        timeout_s = LONG_RESPONSE_TIMEOUT_S if is_long else RESPONSE_TIMEOUT_S
        if self.random.random() < 0.04:
            timeout_s = 0.03
        try:
            # The node must set the tenant by the key, not by the forged header, and
            # must not pass the key on.
            writer.write(
                f"POST {request.path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {request.id}\r\nAuthorization: Bearer key-one\r\n"
                f"Tenant: forged\r\nDeadline-Ms: {22000 if is_long else 3000}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            await asyncio.wait_for(self._read(reader, request), timeout_s)
        except asyncio.TimeoutError:
            request.outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "cut" if request.status else "closed"
        except ValueError:
            request.outcome = "garbled"
        request.ended_at = time.monotonic()
        self._connection = (node, reader, writer,
                            request if request.outcome == "complete" else None)
        if request.outcome != "complete" or \
                request.response_headers.get("connection") == "close":
            await self._close_connection()

    async def _read(self, reader, request):
        first, request.response_headers = await read_head(reader)
        if not re.fullmatch(r"HTTP/1\.1 [1-5][0-9][0-9]( .*)?", first):
            raise ValueError(first)
        request.status = int(first.split(" ")[1])
        if request.response_headers.get("transfer-encoding") == "chunked":
            await read_chunked_body(reader, request)
        else:
            size = int(request.response_headers.get("content-length", 0))
            request.response_body = await reader.readexactly(size)
        request.outcome = "complete"


class PatientCaller(Caller):
    """Keeps its connections, in use or not, until their node closes them."""

    pauses_s = (0.2, 2.5)

    def _keeps_connection(self):
        return True


class LateCaller(PatientCaller):
    """Sends a stream on a connection that it has held for some time."""

    async def run_after(self, delay_s):
        await self._send_request(0.0)
        await asyncio.sleep(delay_s)
        if self._connection and not self._connection[1].at_eof():
            self.paths = [f"/long/{self.random.randrange(*LATE_STREAM_EVENTS)}/"]
            await self._send_request(0.0)
        await self._close_connection()


async def read_chunked_body(reader, request):
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if not piece.endswith(b"\r\n"):
            raise ValueError(piece)
        if size == 0:
            return
        request.response_body += piece[:-2]


async def read_pending(reader):
    """Returns what has arrived and was not read."""
    try:
        return await asyncio.wait_for(reader.read(65536), 0.001)
    except (OSError, asyncio.TimeoutError):
        return b""


def expected_body(request):
    """Returns the response body that the backend servers send for a request."""
    if is_stream(request.path):
        return b"".join(stream_event(request.id, n)
                        for n in range(1, stream_events(request.path) + 1))
    return f"{request.id}:{request.digest}".encode()
