"""A small deployment of real processes on loopback, for the demo and scenarios.

Each process gets free ports and is terminated through its own process handle.
Configuration files and logs are in a temporary folder per fleet.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

TOKEN = "loopback-admin-token"
SECRET = "loopback-frame-secret"
SITE = "loopback"
START_TIMEOUT_S = 20.0


def free_port():
    """Returns a port number that is currently free for both TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def consecutive_ports(count):
    """Returns the first of count consecutive TCP ports that are currently free."""
    while True:
        first = free_port()
        probes = []
        try:
            for i in range(count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", first + i))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class Process:
    """One child process with its log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.popen = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, signal_number):
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


def http_call(address, path, body=None, headers=None, method=None, timeout=5.0):
    """Returns status, body and headers of one HTTP call; status 0 if it failed."""
    data = None if body is None else body.encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read().decode(), dict(reply.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(), dict(error.headers)
    except (OSError, ValueError):
        return 0, "", {}


class Fleet:
    """Stand-ins, entry nodes and agents that share one configuration."""

    def __init__(self, build_dir, entries=2, engine_agents=2, plain_agents=2,
                 log_level="info", workers=2, plain_options=None, engine_options=None,
                 extra_base="", capacity=16, ranks=0, group_options=None):
        self.build_dir = build_dir
        self.workers = workers
        self.log_level = log_level
        self.capacity = capacity
        self.dir = tempfile.mkdtemp(prefix="ragwort-")
        self.processes = {}
        self.ports = {}
        self.extra_base = extra_base
        self.plain_options = plain_options or {}
        self.engine_options = engine_options or {}
        self.entries = [f"entry-{i}" for i in range(1, entries + 1)]
        self.engine_agents = [f"draft-{i}" for i in range(1, engine_agents + 1)]
        self.plain_agents = [f"portal-{i}" for i in range(1, plain_agents + 1)]
        # One stand-in simulates all engines of a rank group, with one port per
        # rank.
        self.ranks = [f"rank-{i}" for i in range(ranks)]
        self.group_options = dict(group_options or {}, ranks=ranks)
        if ranks:
            first = consecutive_ports(ranks)
            for i, name in enumerate(self.ranks):
                self.ports[name + "/backend"] = first + i

    # Addresses.
    def port(self, name):
        if name not in self.ports:
            self.ports[name] = free_port()
        return self.ports[name]

    def address(self, name):
        return f"127.0.0.1:{self.port(name)}"

    def callers_address(self, entry):
        return self.address(entry + "/callers")

    def admin_address(self, node):
        return self.address(node + "/admin")

    def backend_address(self, agent):
        return self.address(agent + "/backend")

    # Configuration files.
    def write(self, name, text):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def base_config(self, shares=(60, 30)):
        return f"""data_centres:
  - {{name: dc-a, region: loopback}}
  - {{name: dc-b, region: loopback}}
organisations:
  - {{name: large, share: {shares[0]}%, max_concurrent: 100000}}
  - {{name: small, share: {shares[1]}%, max_concurrent: 100000}}
services:
  - name: drafting
    kind: model
    deadline: 30s
    routes: [{{method: POST, prefix: /v1/chat/completions}}]
  - name: portal
    kind: plain
    deadline: 10s
    routes:
      - {{prefix: /portal/}}
      - {{method: POST, prefix: /portal/certificates, non_idempotent: true}}
{self.extra_base}"""

    def overlay_config(self):
        lines = [f"site: {SITE}", "instances:"]
        for i, name in enumerate(self.entries):
            lines.append(self.instance_entry(name, "entry", i, ""))
        for service, names in (("drafting", self.engine_agents),
                               ("portal", self.plain_agents)):
            for i, name in enumerate(names):
                lines.append(self.instance_entry(name, "agent", i, service))
        for i, name in enumerate(self.ranks):
            line = self.instance_entry(name, "agent", i, "drafting")
            lines.append(line[:-1] + f", group: group-1, rank: {i}}}")
        return "\n".join(lines) + "\n"

    def instance_entry(self, name, role, index, service):
        centre = "dc-a" if index % 2 == 0 else "dc-b"
        line = (f"  - {{name: {name}, role: {role}, data_centre: {centre}, "
                f'peer: "{self.address(name)}", admin: "{self.admin_address(name)}"')
        return line + (f", service: {service}}}" if service else "}")

    def node_config(self, name, role, index, service=""):
        centre = "dc-a" if index % 2 == 0 else "dc-b"
        seeds = ", ".join(f'"{self.address(e)}"' for e in self.entries if e != name)
        text = f"""name: {name}
role: {role}
site: {SITE}
data_centre: {centre}
peers: {self.address(name)}
admin: {self.admin_address(name)}
admin_token: {TOKEN}
platform: {self.address("platform")}
seeds: [{seeds}]
keys: [{{id: 1, secret: {SECRET}}}]
workers: {self.workers}
log_level: {self.log_level}
"""
        if role == "entry":
            return text + f"callers: {self.callers_address(name)}\n"
        group = ""
        if name in self.ranks:
            group = f", group: group-1, rank: {self.ranks.index(name)}"
        return text + (f"service: {service}\n"
                       f"backend: {{address: \"{self.backend_address(name)}\", "
                       f"capacity: {self.capacity}{group}}}\n")

    # Starting, inspecting and stopping processes.
    def program(self, name):
        for folder in ("apps", "testing/standins", "testing/load"):
            path = os.path.join(self.build_dir, folder, name)
            if os.path.exists(path):
                return path
        raise FileNotFoundError(name)

    def launch(self, name, command):
        log_path = os.path.join(self.dir, name.replace("/", "-") + ".log")
        process = Process(name, command, log_path)
        process.start()
        self.processes[name] = process
        return process

    def start_standin(self, name, kind, options):
        self.launch(name, [self.program("ragwort-standin"), "--kind", kind,
                           "--port", str(self.port(name)),
                           "--options", json.dumps(options)])
        self.wait_until(lambda: self.accepts_connections(name), f"stand-in {name}")

    def start_entry(self, name):
        index = self.entries.index(name)
        path = self.write(name + ".yaml", self.node_config(name, "entry", index))
        return self.launch(name, [self.program("ragwort-entry"), "--config", path])

    def start_agent(self, name):
        service = "portal" if name in self.plain_agents else "drafting"
        for names in (self.engine_agents, self.plain_agents, self.ranks):
            if name in names:
                index = names.index(name)
        path = self.write(name + ".yaml",
                          self.node_config(name, "agent", index, service))
        return self.launch(name, [self.program("ragwort-agent"), "--config", path])

    def start(self):
        self.start_standin("platform", "platform", {})
        for name in self.engine_agents:
            self.start_standin(name + "/backend", "engine", self.engine_options)
        for name in self.plain_agents:
            self.start_standin(name + "/backend", "plain", self.plain_options)
        self.apply("base", self.base_config(), 0)
        self.apply("overlay/" + SITE, self.overlay_config(), 1)
        for name in self.entries:
            self.start_entry(name)
        if self.ranks:
            self.launch("group", [self.program("ragwort-standin"), "--kind",
                                  "group", "--port",
                                  str(self.port(self.ranks[0] + "/backend")),
                                  "--options", json.dumps(self.group_options)])
            self.wait_until(
                lambda: self.accepts_connections(self.ranks[-1] + "/backend"), "group")
        for name in self.engine_agents + self.plain_agents + self.ranks:
            self.start_agent(name)
        for name in self.entries:
            self.wait_until(lambda n=name: self.sees_all_agents(n),
                            f"{name} to be ready")

    def accepts_connections(self, name):
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.port(name))) == 0

    def wait_until(self, condition, what, timeout=START_TIMEOUT_S):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"timed out after {timeout} s waiting for {what}")
            time.sleep(0.02)

    def state(self, node):
        headers = {"Authorization": "Bearer " + TOKEN}
        status, body, _ = http_call(self.admin_address(node), "/state", headers=headers)
        return json.loads(body) if status == 200 else None

    def sees_all_agents(self, entry):
        state = self.state(entry)
        if not state or not state["ready"]:
            return False
        alive = [b for b in state["backends"] if b["state"] == "alive"]
        return len(alive) == len(self.engine_agents + self.plain_agents + self.ranks)

    def run_ctl(self, *arguments):
        environment = dict(os.environ, RAGWORT_ADMIN_TOKEN=TOKEN)
        return subprocess.run(
            [self.program("ragwortctl"), "--platform", self.address("platform"),
             *arguments],
            capture_output=True, text=True, env=environment, check=False)

    def apply(self, document, text, expect):
        """Writes a configuration document; expect is the version before the write."""
        path = self.write(document.replace("/", "-") + ".yaml", text)
        result = self.run_ctl("apply", document, path, "--expect", str(expect))
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        return result.stdout

    def inject_faults(self, name, **values):
        http_call(self.address(name), "/faults", body=json.dumps(values))

    def read_ledger(self):
        """Returns the executions by idempotency key, summed over the plain services."""
        total = {}
        for name in self.plain_agents:
            _, body, _ = http_call(self.backend_address(name), "/ledger")
            for key, count in json.loads(body).items():
                total[key] = total.get(key, 0) + count
        return total

    def start_load(self, mix, rate, seconds, seed=1, direct=None):
        """Starts ragwort-load in the background and returns its process."""
        path = self.write("mix.yaml", mix)
        command = [self.program("ragwort-load"), "--mix", path, "--rate", str(rate),
                   "--seconds", str(seconds), "--seed", str(seed), "--json",
                   "--quiet"]
        if direct:
            command += ["--direct", "--target", direct]
        else:
            for entry in self.entries:
                command += ["--target", self.callers_address(entry)]
            for name in self.plain_agents:
                command += ["--ledger", self.backend_address(name)]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def stop(self):
        for process in reversed(list(self.processes.values())):
            process.send_signal(signal.SIGCONT)
            process.kill()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()


MIX = """kinds:
  - {name: draft, shape: chat, path: /v1/chat/completions, organisations: [large, small], weight: 3, tokens: 16}
  - {name: lookup, shape: lookup, path: /portal/plants/, organisations: [large, small], weight: 4}
  - {name: issue, shape: issue, path: /portal/certificates, organisations: [large, small], weight: 3, repeat_percent: 20}
"""
