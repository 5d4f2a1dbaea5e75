"""Simulated backend servers of the platform's protocol with injectable faults."""

import asyncio
import hashlib
import re
import time
from dataclasses import dataclass, field

from answers import (MALFORMED_STATUSES, Answer, Repetition, draw_continuation, draw_repetition, refusal,
                     spoil_event, spoil_framing, spoil_size, stream_event)
from links import Link, reset

EVENT_INTERVAL_S = 0.02
LONG_EVENT_INTERVAL_S = 0.1
SERVICE_TIME_S = 0.01
STREAM_EVENTS = 10
STREAM_PATHS = ("/draft/", "/once/", "/long/")
# Share of the answers without a length, which is no fault, and among those that
# are repeated.
UNFRAMED_SHARE = 0.05
UNFRAMED_REPEATED_SHARE = 0.4
# Share of the other streams whose events are written in pieces.
SPLIT_SHARE = 0.1
# Share of the streams whose events are written at once.
BURST_SHARE = 0.3
# Faults that affect the response to a request after it has been executed.
EXECUTED_FAULT_MODES = ["fail", "reset", "lose", "garble", "extra", "cut_event",
                        "hang", "spoil_event", "spoil_size", "repeat",
                        "continue_otherwise", "malformed_status", "endless",
                        "spoil_framing"]
# What a server that spoils a share of its answers does with one.
SPOILED_STREAM_MODES = ["spoil_event", "spoil_event", "spoil_size", "repeat",
                        "cut_event", "continue_otherwise", "malformed_status",
                        "endless", "spoil_framing"]
SPOILED_MODES = ["repeat", "repeat", "decline_again", "garble", "malformed_status",
                 "endless"]
FAULT_MODES = EXECUTED_FAULT_MODES + ["decline", "decline_again", "pause"]
# What a server writes without an end: the first bytes, and those that follow.
ENDLESS = [(b"", b"0" * 65536), (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65536),
           (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 8192),
           (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 65536),
           (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1;", b"x" * 65536),
           (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n",
            b"x" * 65536)]
ENDLESS_BLOCKS = 512
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


def is_stream(target):
    return target.startswith(STREAM_PATHS)


def stream_events(target):
    """Returns the number of events of a stream. /long/N has N events."""
    long = re.match(r"/long/(\d+)", target)
    return int(long[1]) if long else STREAM_EVENTS


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
        # Requests whose answers a server may have broken off or disturbed.
        self.disturbed = set()
        # By request: the statuses of the stamped answers.
        self.statuses = {}
        # By request: first events of spoiled new streams. A node may have forwarded
        # one before the next event showed that it was wrong.
        self.spoiled_first_events = {}
        # By request: the latest time at which a server was at work on it.
        self.worked_at = {}

    def record_arrival(self, request_id, backend):
        self.arrivals.append((time.monotonic(), request_id, backend))

    def record_execution(self, request_id, backend, headers, digest):
        self.executions.setdefault(request_id, []).append(
            {"id": backend.id, "service": backend.service, "digest": digest,
             "tenant": headers.get("tenant"), "key": headers.get("authorization"),
             "at": time.monotonic(), "after": headers.get("last-event-id")}
        )


@dataclass
class Channel:
    """One connection of a node to a backend server."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # A repetition that is due once the next request has arrived.
    due: Repetition = None
    is_disturbed: bool = False
    late: set = field(default_factory=set)
    # Keeps what is written in parts together.
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


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
        # Share of the answers that it spoils, in force until it is replaced.
        self.spoiled_share = 0.0
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
            reset(writer)

    def to_row(self, sequence):
        return {"service": self.service, "address": f"127.0.0.1:{self.link.port}",
                "zone": "z1", "version": "v1", "slots": 16, "state": self.state,
                "coldMs": 0, "sequence": sequence, "born": self.started_at_ms}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        channel = Channel(reader, writer)
        try:
            while await self._serve_one(channel):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer closed the connection, or the run has ended.
        finally:
            self._writers.discard(writer)
            for task in channel.late:
                task.cancel()
            writer.transport.abort()

    def _draw_fault(self, target, is_continued):
        if self.fault_mode and self.random.random() < self.fault_probability:
            return self.fault_mode
        share = max(self.spoiled_share, 0.5) if is_continued and self.spoiled_share \
            else self.spoiled_share
        if self.random.random() >= share:
            return None
        return self.random.choice(
            SPOILED_STREAM_MODES if is_stream(target) else SPOILED_MODES)

    async def _serve_one(self, channel):
        first, headers = await read_head(channel.reader)
        method, target, _ = first.split(" ")
        body = await channel.reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        fault = self._draw_fault(target, "last-event-id" in headers)
        channel.is_disturbed = channel.is_disturbed or bool(fault)
        if channel.is_disturbed:
            self.ledger.disturbed.add(request_id)
        due, channel.due = channel.due, None
        if due and (due.when == "after_next" or not is_stream(target)):
            await self._write(channel, due.data, due.is_split)
            due = None
        if headers.get("expect-instance", self.id) != self.id:
            return await self._write(channel, Answer(
                request_id, 421, f"Instance-Id: {self.id}\r\nNot-Executed: 1\r\n").whole())
        self.ledger.record_arrival(request_id, self)
        if fault in ("decline", "decline_again", "pause"):
            return await self._decline(channel, request_id, fault)
        self.ledger.record_execution(request_id, self, headers,
                                     request_digest(method, target, body))
        await asyncio.sleep(SERVICE_TIME_S)
        if fault == "hang":
            await asyncio.sleep(30)
        if fault in ("reset", "lose"):
            return False
        if fault == "endless":
            return await self._write_endless(channel, request_id)
        if fault == "malformed_status":
            return await self._write(channel, Answer(
                request_id, self.random.choice(MALFORMED_STATUSES),
                self._stamp_header(request_id), [b"no answer"]).whole())
        if is_stream(target):
            return await self._write_stream(channel, target, request_id, headers, fault,
                                            due)
        text = f"{request_id}:{request_digest(method, target, body)}".encode()
        if fault == "garble":
            await self._write(channel, b"HTTP/1.1 200 OK\r\nContent-Len")
            return False
        answer = Answer(request_id, 500 if fault == "fail" else 200,
                        self._stamp_header(request_id), [text],
                        self._draw_framing("length", fault))
        self._record_status(answer)
        data = answer.whole()
        if fault == "spoil_framing" and answer.framing != "none":
            await self._write(channel, spoil_framing(data))
            return True
        if fault == "repeat" and self.random.random() < 0.3:
            # Broken off within the body, and begun again in the same bytes.
            cut_at = len(data) - self.random.randrange(1, len(text))
            data, fault = data[:cut_at] + self._draw_repetition(answer).data, None
        await self._write(channel, data)
        return await self._end_answer(channel, answer, fault)

    async def _write(self, channel, data, is_split=False):
        cuts = []
        if is_split:
            cuts = sorted(self.random.randrange(len(data)) for _ in range(3))
        async with channel.lock:
            for begin, end in zip([0] + cuts, cuts + [len(data)]):
                channel.writer.write(data[begin:end])
                await channel.writer.drain()
                if is_split:
                    await asyncio.sleep(self.random.choice([0, 0.003, 0.02]))
        return True

    async def _write_endless(self, channel, request_id):
        """Writes until the node closes the connection."""
        first, block = self.random.choice(ENDLESS)
        await self._write(channel, first.replace(b"%s", request_id.encode()))
        for _ in range(ENDLESS_BLOCKS):
            await self._write(channel, block)
        return False

    async def _write_late(self, channel, repetition):
        try:
            await asyncio.sleep(repetition.delay_s)
            await self._write(channel, repetition.data, repetition.is_split)
        except (OSError, RuntimeError):
            pass  # The connection has ended on either side.

    def _draw_framing(self, usual, fault):
        share = UNFRAMED_REPEATED_SHARE if fault == "repeat" else UNFRAMED_SHARE
        return "none" if self.random.random() < share else usual

    def _record_status(self, answer):
        self.ledger.statuses.setdefault(answer.request_id, set()).add(answer.status)

    async def _decline(self, channel, request_id, fault):
        fields = ""
        if fault == "pause":
            pause_s = self.random.choice(PAUSES_S)
            self.ledger.pauses.append((time.monotonic(), request_id, self, pause_s))
            fields = f"Retry-After: {pause_s}\r\n"
        answer = refusal(request_id, fields)
        await self._write(channel, answer.whole())
        if fault == "decline_again":
            await self._repeat(channel, answer)
        return True

    async def _repeat(self, channel, answer):
        repetition = self._draw_repetition(answer)
        if answer.framing == "none" or repetition.when == "at_once":
            # Only while the connection is open is it a part of what is read.
            await asyncio.sleep(0 if repetition.when == "at_once" else 0.02)
            await self._write(channel, repetition.data, repetition.is_split)
        elif repetition.when == "late":
            task = asyncio.create_task(self._write_late(channel, repetition))
            channel.late.add(task)
        else:
            channel.due = repetition

    def _draw_repetition(self, answer):
        # A node sends none of these requests to this server again.
        other_id = self.random.choice(
            [id for _, id, at in self.ledger.arrivals[-500:] if at is self])
        return draw_repetition(self.random, answer, other_id)

    async def _end_answer(self, channel, answer, fault):
        """Returns whether the connection stays open."""
        if fault == "extra":
            await self._write(channel, Answer(
                "another", 200, self._stamp_header("another"), [b"extra"]).whole())
        if fault == "repeat":
            await self._repeat(channel, answer)
        if answer.framing != "none":
            return True
        channel.writer.write_eof()
        await channel.reader.read()
        return False

    def _stamp_header(self, request_id):
        leaving = ""
        if self.announces_leaving and self.state in ("leaving", "draining"):
            leaving = "Server-Leaving: 1\r\n"
        return f"Server-Stamp: {self.id}.{request_id}\r\n{leaving}"

    async def _write_stream(self, channel, target, request_id, headers, fault, due):
        stamp = self._stamp_header(request_id)
        count = stream_events(target)
        interval_s = LONG_EVENT_INTERVAL_S if target.startswith("/long/") \
            else EVENT_INTERVAL_S
        first = int(headers.get("last-event-id", 0)) + 1
        if fault == "continue_otherwise" and first > 1:
            answer = draw_continuation(self.random, request_id, stamp)
            self._record_status(answer)
            await self._write(channel, answer.whole())
            return await self._end_answer(channel, answer, fault)
        if fault == "continue_otherwise":
            fault = self.random.choice(["cut_event", None])
        events = [stream_event(request_id, n) for n in range(first, count + 1)]
        if fault == "spoil_event" and len(events) > 1:
            events = spoil_event(self.random, events, first > 1)
            if first == 1:
                self.ledger.spoiled_first_events.setdefault(
                    request_id, set()).add(events[0])
        answer = Answer(request_id, 200, f"{stamp}Content-Type: text/event-stream\r\n",
                        events, self._draw_framing("chunked", fault))
        self._record_status(answer)
        within = due.data if due else b""
        if fault == "repeat" and self.random.random() < 0.5:
            within, fault = self._draw_repetition(answer).data, None
        if not await self._write_events(channel, answer, interval_s, within,
                                        self._cut_at(fault, events),
                                        fault == "spoil_size"):
            return False
        return await self._end_answer(channel, answer, fault)

    def _cut_at(self, fault, events):
        """Returns the index of the event within which a stream is cut, or None."""
        if fault in ("cut_event", "fail", "garble"):
            return self.random.randrange(len(events)) if events else None
        return None

    async def _write_events(self, channel, answer, interval_s, within, cut_at,
                            has_wrong_size):
        """Writes a stream with other bytes among its events. Returns whether it is
        complete."""
        has_wrong_size = has_wrong_size and answer.framing == "chunked"
        if not within and cut_at is None and not has_wrong_size \
                and interval_s == EVENT_INTERVAL_S \
                and self.random.random() < BURST_SHARE:
            return await self._write(channel, answer.whole())
        await self._write(channel, answer.head())
        within_at = self.random.randrange(len(answer.pieces)) if answer.pieces else None
        wrong_at = within_at if has_wrong_size else None
        is_split = self.random.random() < SPLIT_SHARE
        for number, event in enumerate(answer.pieces):
            data = answer.framed(event)
            if number == wrong_at:
                data = spoil_size(self.random, data)
            if number == cut_at:
                await self._write(channel, data[:self.random.randrange(1, len(data))])
                if answer.framing == "none":
                    reset(channel.writer)
                return False
            if within and number == within_at:
                at = self.random.choice([0, self.random.randrange(len(data))])
                data = data[:at] + within + data[at:]
            await self._write(channel, data, is_split)
            self.ledger.worked_at[answer.request_id] = time.monotonic()
            await asyncio.sleep(interval_s)
        await self._write(channel, answer.end())
        return True
