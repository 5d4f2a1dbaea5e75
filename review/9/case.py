"""The platform's store comes back after a silence and turns some machines away."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib-2"))
from harness import Fleet, Server, Store, config, read_message, route, run_case  # noqa: E402

NODES = 9
SILENT_S = 4.5        # the store answers nobody
TURNED_AWAY = 3       # machines, a share of 0.33
TURNED_AWAY_S = 9.0   # from the end of the silence on
STABLE_WINDOW_S = 3.0
CONFIG_S = 2.0
CHANGE_BEFORE_S = 8.0  # from the change before to the silence
SLACK_S = 0.1


class RecoveringStore(Store):
    """Listens on a port for each node, and falls silent and turns nodes away."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.turned_away = set()
        self.short_polls = {}  # node: number of polls that ask for a short wait
        self.ports = []

    async def start_for(self, count):
        self.servers = []
        for node in range(count):
            async def serve(reader, writer, node=node):
                await self.serve_node(node, reader, writer)
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def serve_node(self, node, reader, writer):
        self.node_of = getattr(self, "node_of", {})
        self.node_of[writer] = node
        is_lost = False  # A channel on which an answer was lost delivers nothing more.
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if "table=op" in target and "waitMs=2000" in target:
                    self.short_polls[node] = self.short_polls.get(node, 0) + 1
                is_lost |= self.is_silent
                answering = asyncio.create_task(self._answer(method, target, body))
                silence = asyncio.create_task(self.wait_silent())
                if not is_lost:
                    await asyncio.wait({answering, silence},
                                       return_when=asyncio.FIRST_COMPLETED)
                is_lost |= self.is_silent
                silence.cancel()
                if is_lost:
                    answering.cancel()
                    await reader.read()
                    break
                status, answer = await answering
                if node in self.turned_away:
                    status, answer = 503, {}
                self.reply(writer, status, answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node has closed the connection, or the script ends.
        finally:
            writer.transport.abort()

    async def wait_silent(self):
        while not self.is_silent:
            await asyncio.sleep(0.005)


class CountingServer(Server):
    async def answer(self, first, headers, body, reader, writer):
        self.note_run(first, headers, body)
        self.write(writer, headers, 200, self.service.encode())
        await writer.drain()
        return True


def make_config(version, is_new):
    tenants = [{"name": "org-one", "apiKeys": ["key-one"]},
               {"name": "org-two", "apiKeys": [] if is_new else ["key-two"]}]
    routes = [route("kept", "safe", "before", 2),
              route("moved", "safe", "after" if is_new else "before", 2)]
    if is_new:
        routes.append(route("added", "safe", "after", 2))
    return config(version, routes, ["before", "after"], tenants)


async def ask(fleet, node, path, key, request_id):
    reader, writer = await asyncio.open_connection(*fleet.front(node))
    writer.write((f"GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                  f"Authorization: Bearer {key}\r\nDeadline-Ms: 2000\r\n\r\n").encode())
    first, _, body = await asyncio.wait_for(read_message(reader), 4)
    writer.transport.abort()
    return int(first.split(" ")[1]), body.decode()


# Path, key, and what only the older version allows.
QUESTIONS = [("/moved/x", "key-one", (200, "before"), "run by the old service"),
             ("/added/x", "key-one", (404, None), "refused though the route is there"),
             ("/kept/x", "key-two", (200, "before"), "run with a dropped key")]


async def main(record, trouble):
    fleet = Fleet(75, nodes=NODES)
    store = fleet.store = RecoveringStore()
    await store.start_for(NODES)
    servers = [CountingServer(s) for s in ("before", "before", "after", "after")]
    try:
        await fleet.start(make_config(3, False), servers, store.ports)
        await asyncio.sleep(4)
        # A usual change of the desired state; each node's watch of it begins anew.
        store.put("op", "config", make_config(5, False))
        record("version 5 acknowledged")
        store.short_polls.clear()
        await asyncio.sleep(CHANGE_BEFORE_S)
        # The nodes that watch the desired state most closely, by what the store sees.
        closest = sorted(store.short_polls, key=store.short_polls.get, reverse=True)
        turned_away = set(closest[:TURNED_AWAY])
        if trouble:
            record("the store answers nobody")
            store.is_silent = True
        await asyncio.sleep(SILENT_S)
        if trouble:
            store.turned_away = turned_away
            store.is_silent = False
            record(f"the store answers again, but turns away nodes {sorted(turned_away)}")
        back_at = time.monotonic()
        await asyncio.sleep(0.5)
        store.put("op", "config", make_config(8, True))
        acked_at = time.monotonic()
        record("version 8 acknowledged: /moved/ to the new service, /added/ added, "
               "key-two dropped")
        judged_from = max(acked_at + CONFIG_S, back_at + STABLE_WINDOW_S) + SLACK_S
        await asyncio.sleep(judged_from - time.monotonic())
        broken = number = 0
        while time.monotonic() < back_at + TURNED_AWAY_S - 1:
            for node in range(NODES):
                if node in turned_away:
                    continue
                for path, key, (status, body), what in QUESTIONS:
                    number += 1
                    got = await ask(fleet, node, path, key, f"q{number}")
                    is_old = got[0] == status and (body is None or got[1] == body)
                    broken += is_old
                    if is_old:
                        record(f"q{number} {path} with {key} to node {node}, "
                               f"{time.monotonic() - acked_at:.2f} s after the ack: "
                               f"{got[0]} {got[1].strip()[:40]}: {what.upper()}")
            await asyncio.sleep(0.3)
        record(f"{number} requests to nodes that the store served, {broken} of them "
               "handled as only the older version allows")
        return int(broken > 0)
    finally:
        fleet.stop()


run_case(main, __file__)
