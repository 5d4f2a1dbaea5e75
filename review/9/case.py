"""The platform's store comes back after an outage and rejects some machines."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib-2"))
from harness import Fleet, Server, Store, config, read_message, route, run_case  # noqa: E402

NODES = 9
# Time from the last change of the configuration to the outage.
CHANGE_BEFORE_S = 8.0
# The store answers nobody.
OUTAGE_S = 4.5
# From the end of the outage on, the store rejects the calls of some machines.
REJECTED_NODES = 3   # a share of 0.33
REJECTING_S = 9.0
# The bounds of the installation.
STABLE_WINDOW_S = 3.0
CONFIG_S = 2.0
# Added to the bounds, for the delays of this machine.
MARGIN_S = 0.1


class RecoveringStore(Store):
    """A store that can be silent and can reject nodes. Listens on one port for each
    node, so that it can tell them apart."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.rejected = set()
        # By node: number of polls of the configuration with the short wait.
        self.short_polls = {}
        self.ports = []

    async def start_for(self, nodes):
        for node in range(nodes):
            async def serve(reader, writer, node=node):
                await self._serve_node(node, reader, writer)
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve_node(self, node, reader, writer):
        try:
            while answer := await self._answer_next(node, reader):
                self.reply(writer, *answer)
                await writer.drain()
            # A connection on which an answer was lost delivers nothing more.
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node has closed the connection, or the script ends.
        finally:
            writer.transport.abort()

    async def _answer_next(self, node, reader):
        """Returns status and body of the next answer, or None if it is lost."""
        first, _, body = await read_message(reader)
        method, target, _ = first.split(" ")
        if "table=op" in target and "waitMs=2000" in target:
            self.short_polls[node] = self.short_polls.get(node, 0) + 1
        answering = asyncio.create_task(self._answer(method, target, body))
        while not answering.done() and not self.is_silent:
            await asyncio.wait({answering}, timeout=0.005)
        if self.is_silent:
            answering.cancel()
            return None
        return (503, {}) if node in self.rejected else answering.result()


class NamingServer(Server):
    """Answers with the name of its service."""

    async def answer(self, first, headers, body, reader, writer):
        self.note_run(first, headers, body)
        self.write(writer, headers, 200, self.service.encode())
        await writer.drain()
        return True


def make_config(version, is_new):
    """The new configuration moves a route, adds one, and drops a key."""
    tenants = [{"name": "org-one", "apiKeys": ["key-one"]},
               {"name": "org-two", "apiKeys": [] if is_new else ["key-two"]}]
    routes = [route("kept", "safe", "before", 2),
              route("moved", "safe", "after" if is_new else "before", 2)]
    if is_new:
        routes.append(route("added", "safe", "after", 2))
    return config(version, routes, ["before", "after"], tenants)


# Path, key, what only the old configuration answers (status, and body if it matters),
# and what that means.
QUESTIONS = [("/moved/x", "key-one", (200, "before"), "run by the old service"),
             ("/added/x", "key-one", (404, None), "refused though the route is there"),
             ("/kept/x", "key-two", (200, "before"), "run with a dropped key")]


async def ask(fleet, node, path, key, request_id):
    reader, writer = await asyncio.open_connection(*fleet.front(node))
    writer.write((f"GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                  f"Authorization: Bearer {key}\r\nDeadline-Ms: 2000\r\n\r\n").encode())
    first, _, body = await asyncio.wait_for(read_message(reader), 4)
    writer.transport.abort()
    return int(first.split(" ")[1]), body.decode()


async def main(record, trouble):
    fleet = Fleet(75, NODES)
    store = fleet.store = RecoveringStore()
    await store.start_for(NODES)
    servers = [NamingServer(s) for s in ("before", "before", "after", "after")]
    await fleet.start(make_config(3, False), servers, store.ports)
    try:
        await asyncio.sleep(4)
        # Each node's poll of the configuration is answered and begins anew.
        store.put("op", "config", make_config(5, False))
        record("version 5 acknowledged, the same but for its number")
        store.short_polls.clear()
        await asyncio.sleep(CHANGE_BEFORE_S)
        # The nodes that poll the configuration with the short wait.
        rejected = set(sorted(store.short_polls, key=store.short_polls.get,
                              reverse=True)[:REJECTED_NODES])
        if len(rejected) < REJECTED_NODES:
            raise RuntimeError(f"only {len(rejected)} nodes poll with the short wait")
        if trouble:
            store.is_silent = True
            record("the store answers nobody")
        await asyncio.sleep(OUTAGE_S)
        if trouble:
            store.rejected = rejected
            store.is_silent = False
            record(f"the store answers again, and rejects nodes {sorted(rejected)}")
        back_at = time.monotonic()
        await asyncio.sleep(0.5)
        store.put("op", "config", make_config(8, True))
        acked_at = time.monotonic()
        record("version 8 acknowledged: /moved/ goes to the new service, /added/ is added, "
               "key-two is dropped")
        judged_from = max(acked_at + CONFIG_S, back_at + STABLE_WINDOW_S) + MARGIN_S
        await asyncio.sleep(judged_from - time.monotonic())
        broken = number = 0
        while time.monotonic() < back_at + REJECTING_S - 1:
            for node in set(range(NODES)) - rejected:
                for path, key, (status, body), what in QUESTIONS:
                    number += 1
                    sent_s = time.monotonic() - acked_at
                    got = await ask(fleet, node, path, key, f"q{number}")
                    is_old = got[0] == status and body in (None, got[1])
                    broken += is_old
                    record(f"sent q{number} {path} with {key} to node {node}, {sent_s:.2f} s "
                           f"after the ack; answered: {got[0]} {got[1].strip()}"
                           + (f"; BROKEN: {what}" if is_old else ""))
            await asyncio.sleep(0.3)
        record.runs(servers)
        record(f"{number} requests to nodes that the store serves, {broken} of them handled "
               "as only the old configuration allows")
        return int(broken > 0)
    finally:
        fleet.stop()


run_case(main, __file__)
