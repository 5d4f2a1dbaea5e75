"""The open channels to the store go silent; then a replica leaves.

The replica never reports `draining`: its entry is removed, it serves for
`drainMs` and a little longer, and then exits. The requests are top-ups that may
run once at most, so what the exit cuts off is lost.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from rig import DRAIN_S, STABLE_WINDOW_S, TROUBLE, Channel, Rig, main  # noqa: E402

CLIENTS = 24
BEFORE_S = 12.0
# After the channels have gone silent.
REMOVED_AFTER_S = 0.3
# The replica serves for drainMs after its entry was removed, and a little longer.
LONGER_S = 2.5
AFTER_S = 8.0
# For the stand-ins' own timers and the way of a request.
SLACK_S = 0.1


class Case(Rig):
    def config(self):
        return {"routes": [self.route("topup", "unsafe", "portal", timeoutMs=2500,
                                      targetLatencyMs=150, maxAttempts=1)],
                "services": [{"name": "portal"}]}

    async def prepare(self):
        await self.add_replicas("portal", 4)

    async def serve(self, replica, target, headers, body, reader, writer):
        request_id = headers["request-id"]
        await asyncio.sleep(self.random.uniform(0.06, 0.22))
        writer.write(replica.head(request_id, extra="Content-Length: 16\r\n\r\n")
                     + request_id.encode())
        return True

    async def client(self, number, until):
        channel = Channel(self, self.entries[number % len(self.entries)])
        while self.record.now() < until:
            await asyncio.sleep(self.random.uniform(0.02, 0.2))
            request_id = ""
            try:
                if not channel.is_open():
                    await channel.open()
                request_id = await channel.send("POST", "/topup/2f", 2500, b"x" * 300)
                self.sent[request_id] = self.record.now()
                self.record.write("sent", request=request_id, entry=channel.entry.name)
                first, _, _ = await asyncio.wait_for(channel.read_answer(), 4)
                outcome = first.split(" ")[1]
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as reason:
                outcome = type(reason).__name__
                channel.close()
            self.outcomes[request_id] = outcome
            self.record.write("answer", request=request_id, outcome=outcome)
        channel.close()

    async def play(self):
        self.sent, self.outcomes = {}, {}
        begin = self.record.now()
        clients = asyncio.gather(*(self.client(n, begin + BEFORE_S + AFTER_S)
                                   for n in range(CLIENTS)))
        await asyncio.sleep(BEFORE_S)
        silent_at = self.record.now()
        if TROUBLE:
            count = self.store.silence_open_channels()
            self.record.write("channels-to-store-silent", channels=count)
        await asyncio.sleep(REMOVED_AFTER_S)
        leaving = self.replicas[0]
        leaving.leave_list()
        removed_at = self.record.now()
        self.record.write("entry-removed", replica=leaving.id)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        leaving.end()
        ended_at = self.record.now()
        self.record.write("replica-exited", replica=leaving.id)
        await clients
        # Machines whose channels were reset are in touch again after this.
        bound = max(removed_at + DRAIN_S, silent_at + STABLE_WINDOW_S) + SLACK_S
        violations = []
        for request_id, runs in self.runs.items():
            for at, replica in runs:
                if replica == leaving.id and self.sent[request_id] > bound:
                    lost = "" if self.outcomes.get(request_id) == "200" else \
                        f"; it was lost ({self.outcomes.get(request_id)})"
                    violations.append(
                        f"DRAIN: request {request_id} reached the leaving replica "
                        f"{at - removed_at:.2f} s after the ack of its leaving and "
                        f"{at - silent_at:.2f} s after the channels went silent{lost}")
        lost = sum("lost" in v for v in violations)
        self.record.write("summary", served=sum(o == "200" for o in self.outcomes.values()),
                          requests=len(self.sent), late=len(violations), lost=lost,
                          exited_after_s=round(ended_at - removed_at, 2))
        violations.sort(key=lambda v: "lost" not in v)
        return violations


main(Case, __file__)
