"""An entry node gets SIGTERM and takes long streams on open channels 3 s later.

Requesters use channels that they opened before. What the node passes on to a
replica after that it has to answer completely, or it has to refuse it.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from rig import GRACE_S, TROUBLE, Channel, Rig, main  # noqa: E402

CHANNELS = 24
# After the SIGTERM. The rule excuses what is sent within 3 s of it.
FIRST_SENT_S, LAST_SENT_S = 3.04, 3.12
# A long draft: within the pause of 120 ms that the route states, and within the
# time budget and the route's timeout of 8 s.
EVENTS, EVENT_INTERVAL_S = 50, 0.1


class Case(Rig):
    def config(self):
        return {"routes": [self.route("draft", "streaming", "drafts", maxAttempts=1)],
                "services": [{"name": "drafts"}]}

    async def prepare(self):
        await self.add_replicas("drafts", 4)

    async def serve(self, replica, target, headers, body, reader, writer):
        request_id = headers["request-id"]
        events = EVENTS if target.endswith("/long") else 2
        writer.write(replica.head(request_id, extra="Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, events + 1):
            await asyncio.sleep(EVENT_INTERVAL_S if events == EVENTS else 0.01)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.write("completed", request=request_id, replica=replica.id)
        return True

    async def request(self, channel, path):
        request_id = await channel.send("POST", path, body=b"x" * 200,
                                        extra="Model: m\r\nToken-Counts: 40,250\r\n")
        sent_at = self.record.now()
        self.record.write("sent", request=request_id, entry=channel.entry.name)
        try:
            first, headers, body = await asyncio.wait_for(channel.read_answer(), 9)
            outcome = first.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError):
            outcome = "ended-without-complete-answer"
            channel.close()
        except asyncio.TimeoutError:
            outcome = "time-budget-reached"
            channel.close()
        self.record.write("answer", request=request_id, outcome=outcome)
        return request_id, sent_at, outcome

    async def client(self, channel, begin):
        await asyncio.sleep(begin + self.random.uniform(FIRST_SENT_S, LAST_SENT_S)
                            - self.record.now())
        if not channel.is_open():
            self.record.write("channel-closed-before-use", entry=channel.entry.name)
            return None
        return await self.request(channel, "/draft/long")

    async def play(self):
        entry = self.entries[0]
        channels = [Channel(self, entry) for _ in range(CHANNELS)]
        for channel in channels:
            await channel.open()
            if (await self.request(channel, "/draft/short"))[2] != "200":
                return ["a request before the SIGTERM was not served"]
        await asyncio.sleep(3.5)
        begin = self.record.now()
        self.record.write("sigterm" if TROUBLE else "no-sigterm", entry=entry.name)
        if TROUBLE:
            entry.send_signal(signal.SIGTERM)
        results = await asyncio.gather(*(self.client(c, begin) for c in channels))
        self.record.write("end", entry_running=int(entry.is_running()))
        violations = []
        for request_id, sent_at, outcome in filter(None, results):
            ended = self.record.now()
            if request_id in self.runs and outcome == "ended-without-complete-answer" \
                    and begin + 3 < sent_at and ended < begin + GRACE_S + 1.5:
                violations.append(
                    f"LOST: request {request_id}, sent {sent_at - begin:.3f} s after the SIGTERM "
                    "and passed on to a replica, ended without a complete answer")
        return violations


main(Case, __file__)
