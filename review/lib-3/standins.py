"""Stand-ins for the platform's store, the replicas and the requesters, and the processes
of the deploy file, all on loopback addresses.

They follow the users' pages: the store answers rows-get, rows-feed and rows-tx, a replica
checks Expect-Instance, echoes Request-Id and stamps what it has run, and requesters keep
their channels open.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
GRACE_S = 8
# A case may run for 120 s.
TIME_LIMIT_S = 110


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the
    start in seconds."""

    def __init__(self, folder):
        self.began = now()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8",
                        buffering=1)

    def __call__(self, text):
        self.out.write(f"{now() - self.began:9.3f} {text}\n")


async def read_message(reader):
    """Returns the first line, the header fields by lower-case name and the body; None
    at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return lines[0], fields, body


class Store:
    """The platform's metadata store with the rows of all tables."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.servers = []
        # The open channels, as dictionaries with the name of the caller, the table and
        # the wait of its last poll, and whether the channel has gone silent.
        self.channels = []

    async def port_for(self, name):
        """Returns a port of its own for the caller of the name."""
        async def serve(reader, writer):
            channel = {"name": name, "table": "", "wait_ms": 0, "is_silent": False}
            self.channels.append(channel)
            await self._serve(reader, writer, channel)
            self.channels.remove(channel)

        self.servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        return self.servers[-1].sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        text = value if isinstance(value, str) else json.dumps(value)
        row = {"table": table, "part": "", "key": key, "ver": self.version,
               "value": base64.b64encode(text.encode()).decode()}
        self.rows[table, key] = row
        self._note(row)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            self._note({"table": table, "part": "", "key": key, "ver": self.version,
                        "removed": True})

    def _note(self, row):
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer, channel):
        try:
            while message := await read_message(reader):
                status, answer = await self._answer(message[0], message[2], channel)
                if channel["is_silent"]:
                    await reader.read()
                    break
                body = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # The caller closed the channel, or the case has ended.
        finally:
            writer.close()

    async def _answer(self, first, body, channel):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items())
                    if table == fields["table"]]
            return 200, self._page(rows)
        if path == "/rows-feed":
            after, end = int(fields["after"]), now() + int(fields["waitMs"]) / 1000
            channel |= {"table": fields["table"], "wait_ms": int(fields["waitMs"])}
            while True:
                rows = [row for row in self.changes
                        if row["ver"] > after and row["table"] == fields["table"]]
                left = end - now()
                if rows or left <= 0:
                    return 200, self._page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx" and method == "POST":
            call = json.loads(body)
            for row in call.get("upserts", []):
                self.put(row["table"], row["key"],
                         base64.b64decode(row["value"]).decode())
            for row in call.get("remove", []):
                self.remove(row["table"], row["key"])
            return 200, self._page([])
        return 404, {}

    def _page(self, rows):
        return {"rows": rows, "ver": self.version, "hasMore": False,
                "nowMs": int(now() * 1000)}


class Replica:
    """One replica of a service. Subclasses say in run() how it answers what it runs."""

    def __init__(self, record, service, zone="zone-a", slots=16, ip="127.0.0.1", port=0):
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.ip = ip
        self.port = port
        self._writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """Ends as a killed process does."""
        self.server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "coldMs": 0, "sequence": self.sequence, "born": self.born}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                first, fields, body = message
                id = fields.get("request-id", "")
                if first.startswith(("GET /report ", "GET /picked")):
                    text = json.dumps(self.report() if " /report " in first
                                      else self.picked()).encode()
                    self._head(writer, 200, id, "Content-Type: application/json\r\n",
                               len(text))
                    writer.write(text)
                    continue
                if fields.get("expect-instance", self.id) != self.id:
                    self._head(writer, 421, id, "Not-Executed: 1\r\n", 0)
                    continue
                self.runs.append(id)
                self.record(f"replica {self.id} runs {id} ({first})")
                await self.run(writer, first, fields, body)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # The caller closed the channel, or the case has ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    def stamp(self, id):
        return f"Server-Stamp: {self.id}.{id}\r\n"

    def _head(self, writer, status, id, fields, length):
        writer.write(f"HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nInstance-Id: {self.id}"
                     f"\r\n{fields}Content-Length: {length}\r\n\r\n".encode())

    def answer(self, writer, id, body, status=200, fields=""):
        self._head(writer, status, id, self.stamp(id) + fields, len(body))
        writer.write(body)

    async def run(self, writer, first, fields, body):
        self.answer(writer, fields["request-id"], b"ok")

    def picked(self):
        """It has no sets of experts."""
        return {"step": 0, "epoch": 1, "counts": [], "map": {"version": 0, "experts": []},
                "prepared": {"version": 0, "experts": []}}

    def report(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0,
                "kvTotal": 372000, "handles": 0, "pace": 1.0, "step": 0, "map": 0,
                "born": self.born}


class Node:
    """A process of a role of the deploy file."""

    def __init__(self, fleet, role, index):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{index}"
        self.ip = f"127.{fleet.net}.{1 if role == 'entry' else 2}.{index}"
        self.settings = os.path.join(fleet.folder, f"{self.name}.conf")
        self.process = None
        self.store_port = 0

    def write_settings(self, extra=""):
        ports = self.fleet.ports
        seeds = ",".join(f"127.{self.fleet.net}.1.{i + 1}:{ports[3]}"
                         for i in range(min(3, self.fleet.entries)))
        lines = f"""node={self.name}
role={self.role}
ip={self.ip}
zone=zone-a
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
zones.zone-c=region-a
internalPorts={ports[2]},{ports[2] + 1}
seeds={seeds}
bootstrap=true
limits.memoryMb=182
limits.maxFds=2870
limits.linkMbps=700.0
heartbeatMs=1200
bounds.stableWindowMs=3000
bounds.drainMs=2000
bounds.graceS={GRACE_S}
bounds.lostMs=200
bounds.configMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=180
bounds.recoverS=12
provider.address=127.0.0.1:{self.store_port}
"""
        if self.role == "entry":
            lines += (f"listen.front={self.ip}:{ports[0]}\n"
                      f"listen.ready={self.ip}:{ports[1]}\n"
                      f"listen.control={self.ip}:{ports[3]}\n")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(lines + extra)

    def start(self):
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            self.fleet.commands[self.role], cwd=REPOSITORY, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "RAGWORTTHREAD_NODE_FILE": self.settings})
        log.close()
        self.fleet.processes.append(self.process)
        self.fleet.record(f"{self.name} started at {self.ip}")

    def send(self, number):
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.fleet.ports[1])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def free_ports(ip):
    """Returns the ports of requesters, of readiness, between nodes and of control. All
    are free at the address, which stands for the others of its run."""
    while True:
        base = random.randrange(20000, 30000)
        try:
            for port in range(base, base + 24):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return base, base + 1, base + 2, base + 8
        except OSError:
            continue


class Fleet:
    """The store, the processes and their folder."""

    def __init__(self, record, entries):
        self.record = record
        self.entries = entries
        self.folder = tempfile.mkdtemp(prefix="ragwort-review-")
        self.net = random.randrange(10, 250)
        self.ports = free_ports(f"127.{self.net}.1.1")
        self.processes = []
        self.store = Store()
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as deploy:
            roles = tomllib.load(deploy)["roles"]
        self.commands = {name: role["run"].split(" ") for name, role in roles.items()}
        self.nodes = []

    def side_ip(self, number):
        """Address of the side machine of a replica that has an agent."""
        return f"127.{self.net}.2.{number}"

    async def start(self, config, replicas, beside=()):
        """Starts the store, the replicas and the entry nodes, and an agent beside each
        replica of the list beside, in the order of their side machines."""
        self.store.put("op", "config", config)
        for replica in replicas:
            await replica.start()
            self.store.put("servers", replica.id, replica.entry())
        for number, replica in enumerate(beside, 1):
            agent = Node(self, "agent", number)
            agent.store_port = await self.store.port_for(agent.name)
            agent.write_settings(f"app={replica.ip}:{replica.port}\n"
                                 f"service={replica.service}\n")
            agent.start()
        self.nodes = [Node(self, "entry", i + 1) for i in range(self.entries)]
        for node in self.nodes:
            node.store_port = await self.store.port_for(node.name)
            node.write_settings()
            node.start()
        await self.wait_ready(self.nodes, 15)

    async def wait_ready(self, nodes, limit_s):
        end = now() + limit_s
        while not all([await node.is_ready() for node in nodes]):
            if now() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)

    def end(self):
        """Ends all processes, also those that stand still, and removes their folder
        unless KEEP_LOGS is set."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case cannot run here."""


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        # "complete", "cut" within an answer, "closed" without one, or "timeout".
        self.outcome = "closed"


async def read_answer(reader):
    """Reads one answer."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                answer.fields[name.strip().lower()] = value.strip()
        answer.outcome = "cut"
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(
                int(answer.fields.get("content-length", 0)))
        answer.outcome = "complete"
    except (asyncio.IncompleteReadError, OSError, ValueError):
        pass
    return answer


def request_bytes(method, target, host, id, fields="", body=b"", deadline_ms=8000):
    return (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
            ).encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


async def ask(address, data, limit_s):
    """Sends one request on a new channel."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        answer.outcome = "refused"
        return answer
    writer.write(data)
    try:
        answer = await asyncio.wait_for(read_answer(reader), limit_s)
    except asyncio.TimeoutError:
        answer.outcome = "timeout"
    writer.transport.abort()
    return answer


def run_case(folder, play):
    """Runs play(record, has_trouble), which returns the violations, and ends with the
    exit code of the case."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    async def main():
        loop = asyncio.get_running_loop()
        # Channels that are open at the end are of no interest.
        loop.set_exception_handler(lambda loop, context: None)
        case = asyncio.ensure_future(play(record, has_trouble, fleets))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, case.cancel)
        return await asyncio.wait_for(case, TIME_LIMIT_S)

    code = 2
    try:
        violations = asyncio.run(main())
        for violation in violations:
            record(f"BROKEN {violation}")
            print(violation)
        code = 1 if violations else 0
        record("the rule was broken" if violations else "the rule held")
    except BaseException as error:  # Whatever it is, the processes must end.
        record(f"the case could not run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        for fleet in fleets:
            fleet.end()
    sys.stdout.flush()
    os._exit(code)
