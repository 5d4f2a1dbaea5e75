"""Loopback stand-ins of the platform for the review's scripts.

A store with the row calls, servers, and the project's own entry nodes and
agents as separate processes, started with the commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def deploy_commands():
    """Returns the run line of each role of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as text:
        return dict(re.findall(r'\[roles\.(\w+)\]\s*\nrun = "([^"]*)"', text.read()))


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Store:
    """The rows of the platform's metadata store."""

    def __init__(self):
        self.rows = {}
        self.ver = 1
        self.log = []
        self.changed = asyncio.Event()
        self.port = 0
        self.up = True
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.ver += 1
        row = {"table": table, "part": "", "key": key,
               "value": base64.b64encode(data).decode(), "ver": self.ver}
        self.rows[(table, key)] = row
        self._note(row)

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is None:
            return
        self.ver += 1
        self._note({"table": table, "part": "", "key": key, "removed": True,
                    "ver": self.ver})

    def _note(self, row):
        self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, body)
                self.reply(writer, status, answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node has closed the connection, or the script ends.
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    @staticmethod
    def reply(writer, status, answer):
        data = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                     f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = {}
        for part in query.split("&"):
            name, _, value = part.partition("=")
            args[name] = value.replace("%00", "\0").replace("%FF", "\U0010ffff")
        now = int(time.monotonic() * 1000)
        if path == "/rows-get":
            found = [r for (t, k), r in sorted(self.rows.items())
                     if t == args["table"] and k >= args.get("from", "")
                     and ("target" not in args or k < args["target"])]
            return 200, {"rows": found, "hasMore": False, "ver": self.ver, "nowMs": now}
        if path == "/rows-feed":
            after, end = int(args["after"]), time.monotonic() + int(args["waitMs"]) / 1000
            while True:
                found = [r for r in self.log
                         if r["ver"] > after and r["table"] == args["table"]]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"rows": found, "ver": self.ver, "nowMs": now}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx":
            given = json.loads(body)
            for entry in given.get("upserts", []):
                self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
            for entry in given.get("remove", []):
                self.remove(entry["table"], entry["key"])
            return 200, {"ver": self.ver, "nowMs": now}
        return 404, {}


class Server:
    """A backend server. serve(first, headers, body, reader, writer) answers."""

    # Time after which an idle channel is closed, in seconds.
    idle_s = 60.0

    def __init__(self, service, zone="z1", slots=16, ip="127.0.0.1"):
        self.service, self.zone, self.slots, self.ip = service, zone, slots, ip
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.runs = []       # (time, request id, first line, headers, body)
        self.writers = set()
        self.port = 0
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await asyncio.wait_for(read_message(reader),
                                                              self.idle_s)
                if headers.get("expect-instance", self.id) != self.id:
                    self.write(writer, headers, 421, b"", "Instance-Id: %s\r\n" % self.id)
                    continue
                if not await self.answer(first, headers, body, reader, writer):
                    writer.close()
                    break
        except asyncio.TimeoutError:
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()  # The node has closed it, or the script ends.
        finally:
            self.writers.discard(writer)

    def note_run(self, first, headers, body):
        self.runs.append((time.monotonic(), headers.get("request-id"), first, headers,
                          body))

    def write(self, writer, headers, status, body, extra=""):
        stamp = "" if status == 421 else f"Server-Stamp: {self.id}.1\r\n"
        writer.write((f"HTTP/1.1 {status} X\r\nRequest-Id: "
                      f"{headers.get('request-id', '')}\r\n{stamp}{extra}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def answer(self, first, headers, body, reader, writer):
        self.note_run(first, headers, body)
        await asyncio.sleep(0.02)
        self.write(writer, headers, 200, b"done " + headers["request-id"].encode())
        await writer.drain()
        return True


class Fleet:
    """A store, servers and entry nodes, each of which may be killed."""

    def __init__(self, net, nodes=2, grace_s=8):
        self.net, self.grace_s = net, grace_s
        self.dir = tempfile.mkdtemp(prefix="ragwort-review-")
        self.store = Store()
        self.processes = []
        self.ips = [f"127.{net}.1.{i + 1}" for i in range(nodes)]
        self.commands = deploy_commands()

    async def start(self, config, servers, store_ports=None):
        """store_ports: a port of the store for each node, if it has several."""
        try:
            await self._start(config, servers, store_ports)
        except BaseException:
            self.stop()
            raise

    async def _start(self, config, servers, store_ports):
        if store_ports is None:
            await self.store.start()
            store_ports = [self.store.port] * len(self.ips)
        self.store_ports = store_ports
        self.ports = [free_port(self.ips[0]) for _ in range(4)]
        self.store.put("op", "config", config)
        self.servers = servers
        for server in servers:
            if not server.port:
                await server.start()
            self.store.put("servers", server.id, server.row())
        self.nodes = [self.start_entry(i) for i in range(len(self.ips))]
        for i in range(len(self.ips)):
            await self.wait_ready(i)

    def settings(self, i):
        ip, p = self.ips[i], self.ports
        return (f"node=edge-z1-{i + 1}\nrole=entry\nmachineClass=edge\nserves=edge,control\n"
                f"ip={ip}\nzone=z1\nregion=r1\nzones.z1=r1\n"
                f"listen.front={ip}:{p[0]}\nlisten.ready={ip}:{p[1]}\n"
                f"listen.control={ip}:{p[2]}\ninternalPorts={p[3]},{p[3]}\n"
                f"seeds={','.join(f'{x}:{p[2]}' for x in self.ips)}\nbootstrap=true\n"
                "limits.memoryMb=182\nlimits.maxFds=2870\nlimits.linkMbps=700.0\n"
                "heartbeatMs=1200\nbounds.drainMs=2000\n"
                f"bounds.graceS={self.grace_s}\nbounds.lostMs=200\nbounds.configMs=2000\n"
                "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                f"bounds.budgetSlack=184\nprovider.address=127.0.0.1:{self.store_ports[i]}\n"
                "provider.form=table\n")

    def start_entry(self, i):
        path = os.path.join(self.dir, f"entry-{i}.conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings(i))
        # The metrics port of the deploy file is replaced by a free one.
        words = self.commands["entry"].split()
        if "--metrics" in words:
            words[words.index("--metrics") + 1] = str(free_port(self.ips[i]))
        with open(os.path.join(self.dir, f"entry-{i}.log"), "ab") as log:
            process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"RAGWORTTHREAD_NODE_FILE": path, "PATH": os.environ["PATH"]})
        self.processes.append(process)
        return process

    async def wait_ready(self, i, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ips[i], self.ports[1])
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("entry node does not become ready")

    def front(self, i):
        return self.ips[i], self.ports[0]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


def route(name, kind, service, attempts=1, **other):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False,
            "resumable": False, **other}


def config(version, routes, services, tenants=None):
    return {"version": version, "routes": routes,
            "services": [{"name": s} for s in services],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "org-one", "apiKeys": ["key-one"]}]}


class Record:
    """record.txt beside the script: what was sent, answered and run."""

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.begun = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def run_case(main, script):
    """Runs main(record, trouble) and exits with what it returns: 1 broken, 0 held.
    2 if the case could not run."""
    record = Record(script)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble={int(trouble)}")
    try:
        code = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as error:  # Whatever it is, the case has shown nothing.
        record(f"could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    raise SystemExit(code)
