"""Entry nodes of the platform as processes."""

import asyncio
import os
import subprocess
import time

from links import Link

SHUTDOWN_GRACE_S = 8


class Node:
    """One entry node process with its own link to the store."""

    def __init__(self, run, index):
        self.run = run
        self.name = f"entry-{index}"
        self.ip = f"127.{run.loopback_net}.1.{index}"
        self.traffic_address = (self.ip, run.ports[0])
        self.ready_address = (self.ip, run.ports[1])
        self.store_link = Link(("127.0.0.1", run.store_port))
        self.settings_path = os.path.join(run.dir, f"{self.name}.conf")
        self.popen = None
        # (begin, end) of the times in which it stood still.
        self.paused = []
        self.incarnation = 0
        self.in_rotation = False
        self.should_run = True
        self.failed_probes = 0

    def write_settings(self):
        seeds = ",".join(f"{n.ip}:1" for n in self.run.nodes)
        with open(self.settings_path, "w", encoding="utf-8") as out:
            out.write(
                f"node={self.name}\nip={self.ip}\nzone=z1\n"
                f"listen.front={self.ip}:{self.traffic_address[1]}\n"
                f"listen.ready={self.ip}:{self.ready_address[1]}\n"
                f"internalPorts={self.run.ports[2]},{self.run.ports[2] + 1}\n"
                f"seeds={seeds}\nprovider.address=127.0.0.1:{self.store_link.port}\n"
                f"limits.maxFds=2870\nbounds.graceS={SHUTDOWN_GRACE_S}\n"
                "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                "bounds.budgetSlack=180\n"
            )

    def start(self):
        self.incarnation += 1
        self.should_run = True
        with open(os.path.join(self.run.dir, f"{self.name}.log"), "ab") as log:
            self.popen = subprocess.Popen(
                [os.path.join(self.run.build, "platform/ragwort-platform-entry")],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"RAGWORTTHREAD_NODE_FILE": self.settings_path,
                     "PATH": os.environ["PATH"]},
            )

    def send_signal(self, signal_number):
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    async def wait_for_exit(self, limit_s):
        end = time.monotonic() + limit_s
        while self.popen.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.popen.poll() is not None

    async def probe(self):
        """Probes the readiness as a load balancer in front of the nodes does.

        A node is taken out of rotation after two failed probes in a row.
        """
        while True:
            is_ready = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.ready_address), 1)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                is_ready = b" 200 " in line
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError):
                pass  # Not ready.
            self.failed_probes = 0 if is_ready else self.failed_probes + 1
            self.in_rotation = is_ready or (self.in_rotation and self.failed_probes < 2)
            await asyncio.sleep(1)
