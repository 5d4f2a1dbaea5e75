"""Simulated callers with persistent connections.

They record each request and its response; invariants.py checks them.
"""

import asyncio
import time
from dataclasses import dataclass, field

from backends import STREAM_EVENTS, read_head, request_digest

RESPONSE_TIMEOUT_S = 6.0
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
    # (connection closed within the response) or "timeout" (the caller gave up).
    outcome: str = ""
    ended_at: float = 0.0

    @property
    def digest(self):
        return request_digest("POST", self.path, self.body)


class Caller:
    """Sends requests one after the other until a given time."""

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
            await self._send_request()
            await asyncio.sleep(self.random.uniform(0.01, 0.12))
        self._close_connection()

    def _close_connection(self):
        if self._connection:
            self._connection[2].transport.abort()
        self._connection = None

    async def _connect(self):
        # Reuses the connection with a probability of 90%, as long as the node keeps
        # it open.
        if self._connection and not self._connection[1].at_eof():
            if self.random.random() < 0.9:
                return
        self._close_connection()
        candidates = [n for n in self.nodes if n.in_rotation] or self.nodes
        node = self.random.choice(candidates)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*node.traffic_address), CONNECT_TIMEOUT_S
        )
        self._connection = (node, reader, writer)

    async def _send_request(self):
        try:
            await self._connect()
        except (OSError, asyncio.TimeoutError):
            return
        node, reader, writer = self._connection
        self.request_count += 1
        body = b"x" * self.random.randrange(0, 400)
        request = CallerRequest(f"c{self.number}-{self.request_count}", node.name,
                                self.random.choice(self.paths) + "a",
                                time.monotonic(), node.incarnation, body)
        self.requests.append(request)
        # With a probability of 4%, the caller gives up early.
        timeout_s = 0.03 if self.random.random() < 0.04 else RESPONSE_TIMEOUT_S
        try:
            # The node must set the tenant by the key, not by the forged header, and
            # must not pass the key on.
            writer.write(
                f"POST {request.path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {request.id}\r\nAuthorization: Bearer key-one\r\n"
                f"Tenant: forged\r\nDeadline-Ms: 3000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            await asyncio.wait_for(self._read(reader, request), timeout_s)
        except asyncio.TimeoutError:
            request.outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "cut" if request.status else "closed"
        request.ended_at = time.monotonic()
        if request.outcome != "complete" or \
                request.response_headers.get("connection") == "close":
            self._close_connection()

    async def _read(self, reader, request):
        first, request.response_headers = await read_head(reader)
        request.status = int(first.split(" ")[1])
        if request.response_headers.get("transfer-encoding") == "chunked":
            request.response_body = await read_chunked_body(reader)
        else:
            size = int(request.response_headers.get("content-length", 0))
            request.response_body = await reader.readexactly(size)
        request.outcome = "complete"


async def read_chunked_body(reader):
    data = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return data
        data += piece[:-2]


def expected_body(request):
    """Returns the response body that the backend servers send for a request."""
    if request.path.startswith("/draft/"):
        return "".join(
            f"id: {n}\ndata: {request.id}-{n}\n\n" for n in range(1, STREAM_EVENTS + 1)
        ).encode()
    return f"{request.id}:{request.digest}".encode()
