"""A replica spoils one digit of an event id near the end of a stream.

The stream is resumable and the answer's framing is intact. The requester must
get a whole answer, a failure, or an answer that visibly ends early.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from rig import TROUBLE, Channel, Rig, main  # noqa: E402

EVENTS, EVENT_INTERVAL_S = 5, 0.02
SHORT, USUAL = "/draft/short", "/draft/2f"
# Within the doses of `garble`: this share of the replicas spoils this share of
# its answers.
SPOILING_SHARE = 0.4
SPOILED_ANSWERS = 0.02
CLIENTS = 20
PLAY_S = 40


class Case(Rig):
    def config(self):
        return {"routes": [self.route("draft", "streaming", "drafts", resumable=True)],
                "services": [{"name": "drafts"}]}

    async def prepare(self):
        await self.add_replicas("drafts", 5)
        self.spoiling = set(r.id for r in self.replicas[:int(5 * SPOILING_SHARE)])
        self.spoiled = {}

    async def serve(self, replica, target, headers, body, reader, writer):
        request_id = headers["request-id"]
        after = int(headers.get("last-event-id", 0))
        events = [f"id: {n}\ndata: {request_id}-{n}\n\n".encode()
                  for n in range(after + 1, EVENTS + 1)]
        if TROUBLE and after == 0 and replica.id in self.spoiling and \
                self.random.random() < SPOILED_ANSWERS:
            # One byte of the last event is wrong.
            events[-1] = events[-1].replace(b"id: %d\n" % EVENTS, b"id: %d\n" % (EVENTS + 4))
            self.spoiled[request_id] = replica.id
            self.record.write("spoiled", request=request_id, replica=replica.id, path=target)
        writer.write(replica.head(request_id, extra="Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
        for event in events:
            # The events of a short draft come from one step of the batch.
            if target != SHORT:
                await asyncio.sleep(EVENT_INTERVAL_S)
                await writer.drain()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        return True

    async def client(self, number, until):
        channel = Channel(self, self.entries[number % len(self.entries)])
        while self.record.now() < until:
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            try:
                if not channel.is_open():
                    await channel.open()
                request_id = await channel.send(
                    "POST", self.random.choice([SHORT, USUAL]), body=b"x" * 200,
                    extra="Model: m\r\nToken-Counts: 40,20\r\n")
                self.record.write("sent", request=request_id, entry=channel.entry.name)
                self.check(request_id, *await asyncio.wait_for(channel.read_answer(), 9))
            except asyncio.TimeoutError:
                self.record.write("no-answer", request=request_id)
                channel.close()
            except ValueError as reason:
                self.violations.append(
                    f"MIXED: request {request_id} got {reason} within its answer")
                channel.close()
            except (OSError, asyncio.IncompleteReadError) as reason:
                self.record.write("channel-ended", request=request_id, reason=repr(reason))
                channel.close()
        channel.close()

    def check(self, request_id, first, headers, body):
        status = first.split(" ")[1]
        self.record.write("answered", request=request_id, status=status, bytes=len(body),
                          stamp=headers.get("server-stamp", "none"),
                          spoiled=int(request_id in self.spoiled))
        self.statuses[status] = self.statuses.get(status, 0) + 1
        expected = "".join(f"id: {n}\ndata: {request_id}-{n}\n\n"
                           for n in range(1, EVENTS + 1)).encode()
        if status == "200" and (body != expected or "server-stamp" not in headers):
            self.violations.append(
                f"MIXED: request {request_id} got a success with {len(body)} of {len(expected)} "
                f"bytes, stamp {headers.get('server-stamp', 'none')}")

    async def play(self):
        self.violations = []
        self.statuses = {}
        begin = self.record.now()
        await asyncio.gather(*(self.client(n, begin + PLAY_S) for n in range(CLIENTS)))
        self.record.write("summary", statuses=self.statuses, spoiled=len(self.spoiled))
        if not self.statuses.get("200"):
            self.violations.append("no request was served")
        return self.violations


main(Case, __file__)
