"""Backend servers of the platform's protocol that misbehave on command."""

import asyncio
import hashlib
import time

from links import Link

EVENT_GAP_S = 0.02
WORK_S = 0.01
STREAM_EVENTS = 10
# Ways in which a server spoils the answer to a request that it has run.
RUN_MODES = ["fail", "reset", "lose", "garble", "extra", "cut_event", "hang"]
MODES = RUN_MODES + ["decline"]


async def read_head(reader):
    """First line and header fields (lower case) of one message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


def digest_of(method, target, body):
    return hashlib.sha256(f"{method} {target} ".encode() + body).hexdigest()[:16]


class Ledger:
    """What back ends saw: runs and declines by request id."""

    def __init__(self):
        self.runs = {}
        self.arrivals = []

    def on_arrival(self, request_id, backend):
        self.arrivals.append((time.monotonic(), request_id, backend))

    def on_run(self, request_id, backend, fields, digest):
        self.runs.setdefault(request_id, []).append(
            {"id": backend.id, "service": backend.service, "digest": digest,
             "tenant": fields.get("tenant"), "key": fields.get("authorization"),
             "at": time.monotonic(), "after": fields.get("last-event-id")}
        )


class Backend:
    """One instance behind a link of its own."""

    def __init__(self, service, ledger, random, port=0):
        self.service = service
        self.ledger = ledger
        self.random = random
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.port = port
        self.mode = None
        self.mode_share = 0.0
        self.state = "ready"
        self.drained_at = None
        self.link = None
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        if self.link is None:
            self.link = Link(("127.0.0.1", self.port))
            await self.link.start()

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def row(self, sequence):
        return {"service": self.service, "address": f"127.0.0.1:{self.link.port}",
                "zone": "z1", "version": "v1", "slots": 16, "state": self.state,
                "coldMs": 0, "sequence": sequence, "born": self.born}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller left, or the run is over.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        first, fields = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields.get("request-id", "")
        spoils = self.mode and self.random.random() < self.mode_share
        mode = self.mode if spoils else None
        if fields.get("expect-instance", self.id) != self.id:
            self._answer(writer, 421, request_id, f"Instance-Id: {self.id}\r\n"
                         "Not-Executed: 1\r\n", b"")
            return True
        self.ledger.on_arrival(request_id, self)
        if mode == "decline":
            self._answer(writer, 503, request_id, "Not-Executed: 1\r\n", b"")
            return True
        self.ledger.on_run(request_id, self, fields, digest_of(method, target, body))
        await asyncio.sleep(WORK_S)
        if mode == "hang":
            await asyncio.sleep(30)
        if mode in ("reset", "lose"):
            return False
        if target.startswith("/draft/"):
            return await self._stream(writer, request_id, fields, mode)
        status = 500 if mode == "fail" else 200
        answer = f"{request_id}:{digest_of(method, target, body)}".encode()
        if mode == "garble":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Len")
            await writer.drain()
            return False
        self._answer(writer, status, request_id, self._stamp(request_id), answer)
        if mode == "extra":
            self._answer(writer, 200, "another", self._stamp("another"), b"extra")
        await writer.drain()
        return True

    def _stamp(self, request_id):
        return f"Server-Stamp: {self.id}.{request_id}\r\n"

    def _answer(self, writer, status, request_id, extra, body):
        writer.write(
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    async def _stream(self, writer, request_id, fields, mode):
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"{self._stamp(request_id)}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            if mode and number == STREAM_EVENTS // 2:
                writer.write(b"%x\r\n%s" % (len(event), event[:7]))
                await writer.drain()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
