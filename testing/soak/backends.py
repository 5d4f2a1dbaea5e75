"""Simulated backend servers of the platform's protocol with injectable faults."""

import asyncio
import hashlib
import time

from links import Link

EVENT_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.01
STREAM_EVENTS = 10
# Faults that affect the response to a request after it has been executed.
EXECUTED_FAULT_MODES = ["fail", "reset", "lose", "garble", "extra", "cut_event",
                        "hang"]
FAULT_MODES = EXECUTED_FAULT_MODES + ["decline", "pause"]
# Pauses that a server asks for, in seconds.
PAUSES_S = [0.8, 1.5, 3.0]


async def read_head(reader):
    """Returns the start line and the headers (lower-case names) of one message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


def request_digest(method, target, body):
    return hashlib.sha256(f"{method} {target} ".encode() + body).hexdigest()[:16]


class Ledger:
    """Records the arrivals of requests at the backend servers and their executions.

    Arrivals include the requests that a server declined (503), but not those that
    were addressed to another instance (421).
    """

    def __init__(self):
        self.executions = {}
        self.arrivals = []
        # (time, request, backend, seconds) of the declines that asked for a pause.
        self.pauses = []

    def record_arrival(self, request_id, backend):
        self.arrivals.append((time.monotonic(), request_id, backend))

    def record_execution(self, request_id, backend, headers, digest):
        self.executions.setdefault(request_id, []).append(
            {"id": backend.id, "service": backend.service, "digest": digest,
             "tenant": headers.get("tenant"), "key": headers.get("authorization"),
             "at": time.monotonic(), "after": headers.get("last-event-id")}
        )


class Backend:
    """One backend server instance, reached through its own link."""

    def __init__(self, service, ledger, random, port=0):
        self.service = service
        self.ledger = ledger
        self.random = random
        self.id = f"i-{random.getrandbits(40):010x}"
        self.started_at_ms = int(time.time() * 1000)
        self.port = port
        self.fault_mode = None
        self.fault_probability = 0.0
        self.state = "ready"
        self.drained_at = None
        # Whether it says in its responses that it is leaving, once it is.
        self.announces_leaving = random.random() < 0.7
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

    def to_row(self, sequence):
        return {"service": self.service, "address": f"127.0.0.1:{self.link.port}",
                "zone": "z1", "version": "v1", "slots": 16, "state": self.state,
                "coldMs": 0, "sequence": sequence, "born": self.started_at_ms}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer closed the connection, or the run has ended.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        has_fault = self.fault_mode and self.random.random() < self.fault_probability
        fault = self.fault_mode if has_fault else None
        if headers.get("expect-instance", self.id) != self.id:
            self._write_response(writer, 421, request_id,
                                 f"Instance-Id: {self.id}\r\n"
                                 "Not-Executed: 1\r\n", b"")
            return True
        self.ledger.record_arrival(request_id, self)
        if fault == "decline":
            self._write_response(writer, 503, request_id, "Not-Executed: 1\r\n",
                                 b"")
            return True
        if fault == "pause":
            pause_s = self.random.choice(PAUSES_S)
            self.ledger.pauses.append(
                (time.monotonic(), request_id, self, pause_s))
            self._write_response(
                writer, 503, request_id,
                f"Not-Executed: 1\r\nRetry-After: {pause_s}\r\n", b"")
            return True
        self.ledger.record_execution(request_id, self, headers,
                                     request_digest(method, target, body))
        await asyncio.sleep(SERVICE_TIME_S)
        if fault == "hang":
            await asyncio.sleep(30)
        if fault in ("reset", "lose"):
            return False
        if target.startswith("/draft/"):
            return await self._write_stream(writer, request_id, headers, fault)
        status = 500 if fault == "fail" else 200
        response_body = f"{request_id}:{request_digest(method, target, body)}".encode()
        if fault == "garble":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Len")
            await writer.drain()
            return False
        self._write_response(writer, status, request_id,
                             self._stamp_header(request_id), response_body)
        if fault == "extra":
            self._write_response(writer, 200, "another",
                                 self._stamp_header("another"), b"extra")
        await writer.drain()
        return True

    def _stamp_header(self, request_id):
        leaving = ""
        if self.announces_leaving and self.state in ("leaving", "draining"):
            leaving = "Server-Leaving: 1\r\n"
        return f"Server-Stamp: {self.id}.{request_id}\r\n{leaving}"

    def _write_response(self, writer, status, request_id, extra_headers, body):
        writer.write(
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{extra_headers}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    async def _write_stream(self, writer, request_id, headers, fault):
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"{self._stamp_header(request_id)}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            # Each fault that reaches this point cuts the stream within an event.
            if fault and number == STREAM_EVENTS // 2:
                writer.write(b"%x\r\n%s" % (len(event), event[:7]))
                await writer.drain()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
