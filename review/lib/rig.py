"""Small deployment on loopback for the review's scripts.

Starts ragwort-platform-entry with the command of deploy/system.toml and plays
the platform's store, the replicas and the requesters in this process. The
stand-ins speak what PROTOCOL.md describes. Only the Python standard library is
used; every address is a loopback address. KEEP_LOGS=1 keeps the temporary folder
with the logs of the entry nodes.
"""

import asyncio
import base64
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.2
HOST = "api.example"
KEY = "key-one"
TENANT = "org-one"


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


class Record:
    """Writes record.txt; times are seconds since the start of the script."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.out.write(f"{self.now():9.4f} {event} {text}\n")
        self.out.flush()


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in raw[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return raw[0], headers


class Store:
    """The platform's metadata store: rows-get, rows-tx and rows-feed."""

    def __init__(self, ip):
        self.ip = ip
        self.rows = {}
        self.version = 1
        self.port = 0
        self.changed = asyncio.Event()
        self.silenced = set()
        self.open = set()
        self.begin = time.monotonic()

    async def start(self):
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    def silence_open_channels(self):
        """Nothing more is answered on the channels that are open now."""
        self.silenced |= self.open
        return len(self.open)

    def _change(self, rows):
        self.version += 1
        for row_id, value in rows:
            self.rows[row_id] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._change([((table, "", key), base64.b64encode(data).decode())])

    def remove(self, table, key):
        return self._change([((table, "", key), None)])

    def _answer(self, **fields):
        return dict(fields, ver=self.version,
                    nowMs=int((time.monotonic() - self.begin) * 1000))

    @staticmethod
    def _row(row_id, entry):
        row = {"table": row_id[0], "part": row_id[1], "key": row_id[2], "ver": entry[0]}
        if entry[1] is None:
            row["removed"] = True
        else:
            row["value"] = entry[1]
        return row

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("target")
        limit = int(query.get("limit", 500))
        found = [(i, e) for i, e in sorted(self.rows.items())
                 if i[0] == table and i[1] == part and e[1] is not None
                 and i[2] >= begin and (end is None or i[2] < end)]
        return self._answer(rows=[self._row(i, e) for i, e in found[:limit]],
                            hasMore=len(found) > limit)

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = sorted((e[0], i) for i, e in self.rows.items()
                          if i[0] == query["table"] and e[0] > after)
            left = end - time.monotonic()
            if rows or left <= 0:
                return self._answer(rows=[self._row(i, self.rows[i]) for _, i in rows])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for condition in body.get("expectedRevision", []):
            row_id = (condition["table"], condition["part"], condition["key"])
            entry = self.rows.get(row_id, (0, None))
            if (entry[0] if entry[1] is not None else 0) != condition["ver"]:
                return 412, self._answer(rows=[])
        rows = [((u["table"], u["part"], u["key"]), u["value"])
                for u in body.get("upserts", [])]
        rows += [((r["table"], r["part"], r["key"]), None) for r in body.get("remove", [])]
        self._change(rows)
        return 200, self._answer()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {k: v[0] for k, v in
                         parse_qs(url.query, keep_blank_values=True).items()}
                status = 200
                if url.path == "/rows-get":
                    answer = self._get(query)
                elif url.path == "/rows-feed":
                    answer = await self._feed(query)
                elif url.path == "/rows-tx" and method == "POST":
                    status, answer = self._transact(json.loads(body))
                else:
                    status, answer = 404, {}
                if writer in self.silenced:
                    continue
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n"
                             .encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()


class Replica:
    """One replica. serve() of a case answers the requests that it runs."""

    def __init__(self, rig, service, zone):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.id = f"i-{rig.random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.address = None
        self.is_listed = True
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.rig.ip(2), 0)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        self.write_row()
        self.rig.spawn(self._heartbeats())

    def write_row(self):
        self.sequence += 1
        self.rig.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 12, "state": self.state, "coldMs": 0,
            "sequence": self.sequence, "born": self.born})

    async def _heartbeats(self):
        await asyncio.sleep(self.rig.random.uniform(0, HEARTBEAT_S))
        while self.is_listed:
            self.write_row()
            await asyncio.sleep(HEARTBEAT_S)

    def leave_list(self):
        """Its entry is removed; it goes on serving. The store acknowledges that."""
        self.is_listed = False
        self.rig.store.remove("servers", self.id)

    def end(self):
        """The process exits: no new channels, and the open ones are cut."""
        self.is_listed = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def head(self, request_id, status="200 OK", extra=""):
        return (f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n"
                f"Server-Stamp: {self.stamp(request_id)}\r\nKeep-Alive: timeout=10\r\n"
                f"{extra}").encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(
                        f"HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\nInstance-Id: {self.id}\r\n"
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if not request_id:
                    writer.write(b"HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.rig.on_run(self, request_id, headers)
                if not await self.rig.serve(self, target, headers, body, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Entry:
    """One entry node process, started with the deploy file's command."""

    def __init__(self, rig, index, zone):
        self.rig = rig
        self.index = index
        self.zone = zone
        self.name = f"edge-{zone}-{index}"
        self.ip = rig.ip(10 + index)
        self.front = (self.ip, rig.ports[0])
        self.ready = (self.ip, rig.ports[1])
        self.path = os.path.join(rig.dir, f"{self.name}.conf")
        self.popen = None

    def write_settings(self):
        rig = self.rig
        seeds = ",".join(f"{e.ip}:{rig.ports[2]}" for e in rig.entries[:3])
        lines = {
            "node": self.name, "role": "entry", "machineClass": "edge",
            "serves": "edge,control", "ip": self.ip, "zone": self.zone,
            "region": "region-one",
            **{f"zones.{z}": "region-one" for z in rig.zones},
            "listen.front": f"{self.ip}:{rig.ports[0]}",
            "listen.ready": f"{self.ip}:{rig.ports[1]}",
            "listen.control": f"{self.ip}:{rig.ports[2]}",
            "internalPorts": f"{rig.ports[3]},{rig.ports[3] + 1}", "seeds": seeds,
            "bootstrap": "true", "lossCounts": "false", "limits.cpuShare": "0.13",
            "limits.cores": "1", "limits.memoryMb": "182", "limits.maxFds": "2870",
            "limits.linkMbps": "700.0", "limits.diskMb": "0", "discovery": "platform",
            "entry": "virtual_ip", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
                         "platform,experts",
            "bounds.stableWindowMs": "3000", "bounds.drainMs": "2000",
            "bounds.graceS": str(GRACE_S), "bounds.lostMs": "200",
            "bounds.configMs": "2000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.budgetSlack": "180",
            "bounds.recoverS": "12", "bounds.passMs": "120",
            "provider.address": f"{rig.store.ip}:{rig.store.port}",
            "provider.form": "table", "provider.writesPerS": "400",
            "provider.readsPerS": "2000", "provider.historyS": "20"}
        with open(self.path, "w", encoding="utf-8") as out:
            out.writelines(f"{k}={v}\n" for k, v in lines.items())

    def start(self):
        command = self.rig.entry_command
        with open(os.path.join(self.rig.dir, f"{self.name}.log"), "ab") as log:
            self.popen = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"RAGWORTTHREAD_NODE_FILE": self.path,
                     "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                     "HOME": self.rig.dir, "LANG": "C"})

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if not self.is_running():
                raise CannotRun(f"{self.name} exited with {self.popen.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class Channel:
    """A requester's channel to an entry node."""

    def __init__(self, rig, entry):
        self.rig = rig
        self.entry = entry
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.entry.front), 1)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.writer = None

    def is_open(self):
        return self.writer is not None and not self.reader.at_eof() \
            and not self.writer.transport.is_closing()

    async def read_answer(self):
        """Reads one answer. Returns (status line, headers, body).

        Raises IncompleteReadError or OSError if the channel ends within it, and
        ValueError if what arrives is no answer in the protocol.
        """
        first, headers = await read_head(self.reader)
        if not re.fullmatch(r"HTTP/1\.1 [1-5][0-9][0-9]( .*)?", first):
            raise ValueError(first)
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            return first, headers, await self.reader.readexactly(length)
        body = b""
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2]
            if not re.fullmatch(rb"[0-9a-fA-F]+", line):
                raise ValueError(line)
            piece = await self.reader.readexactly(int(line, 16) + 2)
            if not int(line, 16):
                return first, headers, body
            body += piece[:-2]

    async def send(self, method, path, deadline_ms=8000, body=b"", extra=""):
        """Sends a request. Returns its id."""
        request_id = f"{self.rig.random.getrandbits(64):016x}"
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{extra}{length}\r\n"
            .encode() + body)
        return request_id


class Rig:
    """The deployment of one run. A case derives from it."""

    zones = ["zone-a", "zone-b", "zone-c"]

    def __init__(self, folder, entries=3):
        self.folder = folder
        self.random = random.Random()
        self.net = f"127.{self.random.randrange(16, 250)}.{self.random.randrange(1, 250)}"
        self.dir = tempfile.mkdtemp(prefix="ragwort-review-")
        self.record = Record(folder)
        self.ports = free_ports(self.ip(11), 4)
        self.tasks = set()
        self.replicas = []
        self.runs = {}
        self.version = 10
        self.entry_command = entry_command()
        self.store = Store(self.ip(1))
        self.entries = [Entry(self, i + 1, self.zones[i % 3]) for i in range(entries)]

    def ip(self, last):
        return f"{self.net}.{last}"

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def on_run(self, replica, request_id, headers):
        self.runs.setdefault(request_id, []).append((self.record.now(), replica.id))
        self.record.write("run", request=request_id, replica=replica.id,
                          service=replica.service,
                          after=headers.get("last-event-id", "-"))

    async def serve(self, replica, target, headers, body, reader, writer):
        raise NotImplementedError

    def config(self):
        raise NotImplementedError

    @staticmethod
    def route(name, kind, service, **more):
        return dict({"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
                     "service": service, "timeoutMs": 8000, "targetLatencyMs": 400,
                     "priority": 1, "maxAttempts": 2, "public": False,
                     "resumable": False, "gapTargetMs": 120}, **more)

    def write_config(self):
        document = {
            "version": self.version, "limits": {
                "maxHeaderBytes": 8192, "maxBodyBytes": 1048576,
                "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}
        document.update(self.config())
        self.store.put("op", "config", document)
        self.record.write("config-acknowledged", version=self.version)

    async def add_replicas(self, service, count):
        for i in range(count):
            replica = Replica(self, service, self.zones[i % 3])
            await replica.start()
            self.replicas.append(replica)

    async def start(self):
        await self.store.start()
        self.write_config()
        await self.prepare()
        for entry in self.entries:
            entry.write_settings()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        self.record.write("ready", entries=len(self.entries), trouble=int(TROUBLE))

    async def prepare(self):
        """Starts the replicas."""

    async def play(self):
        """Plays the case. Returns the list of violations of the rule."""
        raise NotImplementedError

    def stop(self):
        for replica in self.replicas:
            replica.end()
        for entry in self.entries:
            if entry.is_running():
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGKILL)
                entry.popen.wait()
        for task in list(self.tasks):
            task.cancel()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.dir, ignore_errors=True)


def free_ports(ip, count):
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((ip, 0))
        probes.append(probe)
    ports = [p.getsockname()[1] for p in probes]
    for probe in probes:
        probe.close()
    return ports


def entry_command():
    """The command of the entry role in the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as text:
        section = text.read().split("[roles.entry]")[1].split("[roles.")[0]
    words = re.search(r'^run = "(.*)"$', section, re.M).group(1).split(" ")
    words[0] = os.path.join(ROOT, words[0])
    if not os.access(words[0], os.X_OK):
        raise CannotRun(f"{words[0]} is not built")
    return words


def main(make_rig, file):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
    case could not be run."""
    # Writes to channels that the peer has reset are part of the cases.
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def run():
        # A run that is ended early still ends its processes.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        rig = make_rig(os.path.dirname(os.path.abspath(file)))
        try:
            await rig.start()
            violations = await asyncio.wait_for(rig.play(), 90)
            failed = [e.name for e in rig.entries if e.popen.returncode not in (None, 0)]
            if failed:
                violations = violations + [f"exited unexpectedly: {failed}"]
        except Exception as reason:  # A fault of the case shows nothing of the rule.
            rig.record.write("cannot-run", reason=repr(reason))
            print(f"cannot run: {reason!r}")
            return 2
        finally:
            rig.stop()
            if os.environ.get("KEEP_LOGS"):
                print(f"logs in {rig.dir}")
        for violation in violations:
            rig.record.write("VIOLATION", text=violation)
        text = "broken" if violations else "held"
        rig.record.write("result", rule=text, violations=len(violations))
        print(f"rule {text}: {len(violations)} violations")
        for violation in violations[:5]:
            print("  " + violation)
        return 1 if violations else 0

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as reason:
        print(f"cannot run: {reason!r}")
        code = 2
    # Without the teardown of the channels that are still open.
    sys.stdout.flush()
    os._exit(code)
