"""What the scripts of the cases 6 to 9 share.

Stand-ins of the platform's store and of servers, in the script's own process, and
the project's entry nodes as separate processes, started with the command of the
deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def deploy_commands():
    """Returns the run line of each role of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as text:
        return dict(re.findall(r'\[roles\.(\w+)\]\s*\nrun = "([^"]*)"', text.read()))


def free_ports(ips, count):
    """Returns ports that are free at all the addresses, and different."""
    ports, probes = [], []
    try:
        while len(ports) < count:
            port = 0
            taken = []
            try:
                for ip in ips:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        taken.append(probe)
                        probe.bind((ip, port))
                        port = probe.getsockname()[1]
                ports.append(port)
            except OSError:
                pass  # Another program has the port at one of the addresses.
            # Kept until all ports are known, so that none is returned twice.
            probes += taken
    finally:
        for probe in probes:
            probe.close()
    return ports


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

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row. Bytes are written as they are, anything else as JSON."""
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
    """A server of a service. Subclasses override answer()."""

    # Time after which an idle connection is closed, in seconds.
    idle_s = 60.0

    def __init__(self, service, slots=16):
        self.service, self.slots = service, slots
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        # Of each request that was run: time, id, first line, headers, body.
        self.runs = []
        self.port = 0
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self):
        """Returns its entry in the list of servers."""
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": "z1", "version": "v1", "slots": self.slots, "state": "ready",
                "coldMs": 0, "sequence": self.sequence, "born": self.born}

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await asyncio.wait_for(read_message(reader),
                                                              self.idle_s)
                if headers.get("expect-instance", self.id) != self.id:
                    self.write(writer, headers, 421, b"", f"Instance-Id: {self.id}\r\n")
                    continue
                if not await self.answer(first, headers, body, reader, writer):
                    writer.close()
                    break
        except asyncio.TimeoutError:
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()  # The node has closed it, or the script ends.

    def note_run(self, first, headers, body):
        self.runs.append((time.monotonic(), headers.get("request-id"), first, headers,
                          body))

    def write(self, writer, headers, status, body, extra=""):
        stamp = "" if status == 421 else f"Server-Stamp: {self.id}.1\r\n"
        writer.write((f"HTTP/1.1 {status} X\r\nRequest-Id: "
                      f"{headers.get('request-id', '')}\r\n{stamp}{extra}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def answer(self, first, headers, body, reader, writer):
        """Runs a request and answers it. Returns whether the connection stays open."""
        self.note_run(first, headers, body)
        await asyncio.sleep(0.02)
        self.write(writer, headers, 200, b"done " + headers["request-id"].encode())
        await writer.drain()
        return True


class Fleet:
    """A store, servers and entry nodes.

    The entry nodes have the addresses 127.NET.1.1, 127.NET.1.2 and so on.
    """

    def __init__(self, net, nodes):
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
        self.ports = free_ports(self.ips, 5)
        self.store.put("op", "config", config)
        for server in servers:
            await server.start()
            self.store.put("servers", server.id, server.row())
        for i in range(len(self.ips)):
            self._start_entry(i)
        for i in range(len(self.ips)):
            await self._wait_ready(i)

    def _settings(self, i):
        ip, p = self.ips[i], self.ports
        return (f"node=edge-z1-{i + 1}\nrole=entry\nmachineClass=edge\nserves=edge,control\n"
                f"ip={ip}\nzone=z1\nregion=r1\nzones.z1=r1\n"
                f"listen.front={ip}:{p[0]}\nlisten.ready={ip}:{p[1]}\n"
                f"listen.control={ip}:{p[2]}\ninternalPorts={p[3]},{p[3]}\n"
                f"seeds={','.join(f'{x}:{p[2]}' for x in self.ips)}\nbootstrap=true\n"
                "limits.memoryMb=182\nlimits.maxFds=2870\nlimits.linkMbps=700.0\n"
                "heartbeatMs=1200\nbounds.drainMs=2000\n"
                "bounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\n"
                "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                f"bounds.budgetSlack=184\nprovider.address=127.0.0.1:{self.store_ports[i]}\n"
                "provider.form=table\n")

    def _start_entry(self, i):
        path = os.path.join(self.dir, f"entry-{i}.conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self._settings(i))
        # The metrics port of the deploy file is replaced by a free one.
        words = self.commands["entry"].split()
        if "--metrics" in words:
            words[words.index("--metrics") + 1] = str(self.ports[4])
        with open(self._log_path(i), "wb") as log:
            process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"RAGWORTTHREAD_NODE_FILE": path, "PATH": os.environ["PATH"]})
        self.processes.append(process)

    def _log_path(self, i):
        return os.path.join(self.dir, f"entry-{i}.log")

    async def _wait_ready(self, i):
        end = time.monotonic() + 10
        while time.monotonic() < end and self.processes[i].poll() is None:
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
        with open(self._log_path(i), encoding="utf-8", errors="replace") as log:
            raise RuntimeError(f"entry node {i + 1} is not ready: {log.read()[-500:]}")

    def front(self, i):
        """Returns the address at which entry node I takes requests."""
        return self.ips[i], self.ports[0]

    def stop(self):
        """Ends all processes and removes their files."""
        for process in self.processes:
            process.kill()
            process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


def route(name, kind, service, attempts=1, **other):
    """Returns a route for the paths that begin with /NAME/."""
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False, "resumable": False, **other}


def config(version, routes, services, tenants=None):
    return {"version": version, "routes": routes,
            "services": [{"name": s} for s in services],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "org-one", "apiKeys": ["key-one"]}]}


class Record:
    """record.txt beside the script: what was sent, answered and run.

    Each line begins with the seconds since the start of the script.
    """

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.begun = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


    def runs(self, servers):
        """Lists what the servers ran."""
        for server in servers:
            for at, request_id, first, headers, body in server.runs:
                self(f"at {at - self.begun:.3f} server {server.id} ({server.service}) ran "
                     f"{request_id}: {first}, {len(body)} B of body, tenant "
                     f"{headers.get('tenant')}")


def run_case(main, script):
    """Runs main(record, trouble) and exits with its result: 1 if the rule was broken, 0
    if it held; 2 if the case could not run. The script's argument is the value of
    TROUBLE: with 0, main() leaves the disruption out."""
    trouble = sys.argv[1:2] != ["0"]
    record = Record(script)
    record(f"TROUBLE={int(trouble)}")
    try:
        code = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as error:  # Whatever failed, the case has shown nothing.
        record(f"could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    raise SystemExit(code)
