"""Answers of simulated backend servers: framing, spoiled events and repetition."""

import re
from dataclasses import dataclass, field

# Pauses before a late repetition, in seconds.
REPEAT_DELAYS_S = [0.005, 0.02, 0.1, 0.5]
# Answers in place of the rest of a stream: status, header fields and body. An
# event stream that is complete without any event would be a right answer.
OTHER_CONTINUATIONS = [
    (200, "Content-Type: application/json\r\n", b'{"ok":true}'),
    (204, "", b""),
    (302, "Location: /\r\n", b""),
    (400, "Content-Type: text/plain\r\n", b"no"),
    (404, "Content-Type: text/plain\r\n", b"none"),
    (404, "Content-Type: text/event-stream\r\n", b"id: 9\ndata: none\n\n"),
    (429, "Not-Executed: 1\r\n", b""),
    (500, "Content-Type: text/plain\r\n", b"failed"),
    (503, "Not-Executed: 1\r\n", b""),
]
# Statuses that no answer has: HTTP lacks them, or nothing asked for them.
MALFORMED_STATUSES = ["000", "001", "099", "101", "199", "600", "999", "20", "2000"]


@dataclass
class Answer:
    """An answer whose body is written in pieces, such as the events of a stream."""

    request_id: str
    status: int = 200
    # Further header lines.
    fields: str = ""
    pieces: list = field(default_factory=list)
    # "length", "chunked" or "none": without a length, it ends with its connection.
    framing: str = "length"

    def head(self):
        length = {"length": f"Content-Length: {sum(map(len, self.pieces))}\r\n",
                  "chunked": "Transfer-Encoding: chunked\r\n", "none": ""}
        return (f"HTTP/1.1 {self.status} X\r\nRequest-Id: {self.request_id}\r\n"
                f"{self.fields}{length[self.framing]}\r\n").encode()

    def framed(self, piece):
        if self.framing == "chunked" and piece:
            return b"%x\r\n%s\r\n" % (len(piece), piece)
        return piece

    def end(self):
        return b"0\r\n\r\n" if self.framing == "chunked" else b""

    def whole(self):
        return self.head() + b"".join(map(self.framed, self.pieces)) + self.end()


def refusal(request_id, fields=""):
    return Answer(request_id, 503, f"Not-Executed: 1\r\n{fields}")


def stream_event(request_id, number):
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def spoil_event(random, events, is_continued):
    """Returns the events with one of them wrong, repeated, missing, without its id or
    before its predecessor.

    Nothing shows that the first event of a new stream is missing, as long as its node
    has seen few streams, nor that a complete answer should have had one more.
    """
    at = random.randrange(len(events))
    how = random.choice(["wrong", "repeated", "missing", "anonymous", "swapped"])
    event = events[at]
    if how == "missing" and (at > 0 or is_continued) and at + 1 < len(events):
        return events[:at] + events[at + 1:]
    if how == "swapped" and at + 1 < len(events):
        return events[:at] + [events[at + 1], event] + events[at + 2:]
    if how == "wrong":
        number, rest = event[4:].split(b"\n", 1)
        digit = random.randrange(len(number))
        other = random.choice([d for d in b"0123456789" if d != number[digit]])
        spoiled = number[:digit] + bytes([other]) + number[digit + 1:]
        return events[:at] + [b"id: " + spoiled + b"\n" + rest] + events[at + 1:]
    if how == "anonymous":
        return events[:at] + [event.split(b"\n", 1)[1]] + events[at + 1:]
    return events[:at + 1] + events[at:]


def spoil_size(random, chunk):
    """Returns the chunk with a wrong digit in its size, or one digit more."""
    size, rest = chunk.split(b"\r\n", 1)
    if random.random() < 0.3:
        return random.choice([b"1", b"f"]) + chunk
    digit = random.randrange(len(size))
    other = random.choice([d for d in b"123456789abcdef" if d != size[digit]])
    return size[:digit] + bytes([other]) + size[digit + 1:] + b"\r\n" + rest


def spoil_framing(data):
    """Returns an answer whose length has lost its last digit, or whose coding is none
    that exists."""
    head, body = data.split(b"\r\n\r\n", 1)
    head = re.sub(rb"(Content-Length: \d+)\d$", rb"\1", head, flags=re.MULTILINE)
    return head.replace(b": chunked", b": chunkee") + b"\r\n\r\n" + body


@dataclass
class Repetition:
    """Bytes that a server writes although they belong to no request in progress."""

    data: bytes
    # "at_once", "late", "after_next" (once the next request has arrived) or
    # "within_next" (among the events of the next stream).
    when: str
    delay_s: float
    is_split: bool


def draw_repetition(random, answer, other_id):
    """Repeats an answer, with its own or another request's id, in any framing."""
    framing = random.choice(["length", "chunked", "none", answer.framing])
    fields = answer.fields + random.choice(["", "", "", "Connection: close\r\n"])
    copy = Answer(random.choice([answer.request_id, answer.request_id, other_id]),
                  answer.status, fields, answer.pieces, framing)
    if answer.status == 200 and random.random() < 0.2:
        copy = refusal(copy.request_id)
    return Repetition(
        copy.whole(),
        random.choice(["at_once", "late", "late", "after_next", "within_next"]),
        random.choice(REPEAT_DELAYS_S), random.random() < 0.4)


def draw_continuation(random, request_id, stamp):
    status, fields, body = random.choice(OTHER_CONTINUATIONS)
    framing = "length" if status == 204 else random.choice(["length", "chunked", "none"])
    return Answer(request_id, status, stamp + fields, [body] if body else [], framing)


