"""Callers that keep their connections and check every answer they get."""

import asyncio
import time
from dataclasses import dataclass, field

from backends import STREAM_EVENTS, digest_of, read_head

ANSWER_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass
class Attempt:
    """One request of a caller and how it ended."""

    id: str
    node: str
    path: str
    sent: float
    incarnation: int
    body: bytes = b""
    status: int = 0
    fields: dict = field(default_factory=dict)
    answer: bytes = b""
    # whole, closed (no answer), cut (a begun answer broke off), left, refused
    # (no connection)
    end: str = ""
    ended: float = 0.0

    @property
    def digest(self):
        return digest_of("POST", self.path, self.body)


class Caller:
    """Sends requests one after the other until told to stop."""

    def __init__(self, number, nodes, random, attempts, paths):
        self.number = number
        self.nodes = nodes
        self.random = random
        self.attempts = attempts
        self.paths = paths
        self.count = 0
        self._connection = None

    async def run(self, until):
        while time.monotonic() < until:
            await self._one()
            await asyncio.sleep(self.random.uniform(0.01, 0.12))
        self._drop()

    def _drop(self):
        if self._connection:
            self._connection[2].transport.abort()
        self._connection = None

    async def _connect(self):
        # An open connection is kept for as long as the node leaves it open.
        if self._connection and not self._connection[1].at_eof():
            if self.random.random() < 0.9:
                return
        self._drop()
        open_nodes = [n for n in self.nodes if n.in_rotation] or self.nodes
        node = self.random.choice(open_nodes)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*node.front), CONNECT_TIMEOUT_S
        )
        self._connection = (node, reader, writer)

    async def _one(self):
        try:
            await self._connect()
        except (OSError, asyncio.TimeoutError):
            return
        node, reader, writer = self._connection
        self.count += 1
        body = b"x" * self.random.randrange(0, 400)
        attempt = Attempt(f"c{self.number}-{self.count}", node.name,
                          self.random.choice(self.paths) + "a",
                          time.monotonic(), node.incarnation, body)
        self.attempts.append(attempt)
        leaves_after = 0.03 if self.random.random() < 0.04 else ANSWER_TIMEOUT_S
        try:
            writer.write(
                f"POST {attempt.path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {attempt.id}\r\nAuthorization: Bearer key-one\r\n"
                f"Tenant: forged\r\nDeadline-Ms: 3000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            await asyncio.wait_for(self._read(reader, attempt), leaves_after)
        except asyncio.TimeoutError:
            attempt.end = "left"
        except (OSError, asyncio.IncompleteReadError):
            attempt.end = "cut" if attempt.status else "closed"
        attempt.ended = time.monotonic()
        if attempt.end != "whole" or attempt.fields.get("connection") == "close":
            self._drop()

    async def _read(self, reader, attempt):
        first, attempt.fields = await read_head(reader)
        attempt.status = int(first.split(" ")[1])
        if attempt.fields.get("transfer-encoding") == "chunked":
            attempt.answer = await read_chunks(reader)
        else:
            size = int(attempt.fields.get("content-length", 0))
            attempt.answer = await reader.readexactly(size)
        attempt.end = "whole"


async def read_chunks(reader):
    data = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return data
        data += piece[:-2]


def expected_answer(attempt):
    """The bytes that the back ends make for an attempt."""
    if attempt.path.startswith("/draft/"):
        return "".join(
            f"id: {n}\ndata: {attempt.id}-{n}\n\n" for n in range(1, STREAM_EVENTS + 1)
        ).encode()
    return f"{attempt.id}:{attempt.digest}".encode()
