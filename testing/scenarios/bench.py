#!/usr/bin/env python3
"""Benchmarks on loopback: added latency, throughput, resource use under load and idle.

usage: bench.py BUILD-FOLDER OUTPUT-FILE

Writes a Markdown table. The results depend on the machine and are not checked.
"""

import json
import os
import resource
import sys
import time

from fleet import Fleet, http_call

LOOKUP_MIX = """kinds:
  - {name: lookup, shape: lookup, path: /portal/plants/, organisations: [large]}
"""
IDLE_SECONDS = 10
PAGE_BYTES = resource.getpagesize()
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns the processor time of a process so far, user and system together."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def load_report(process):
    return json.loads(process.communicate()[0])


def measure_latency(build_dir, rows):
    with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=1, capacity=256,
               workers=2) as fleet:
        for seed in (1, 2, 3):
            direct = load_report(
                fleet.start_load(LOOKUP_MIX, 2000, 5, seed=seed,
                                 direct=fleet.backend_address("portal-1")))
            through = load_report(fleet.start_load(LOOKUP_MIX, 2000, 5, seed=seed))
            d, t = direct["whole_answer"], through["whole_answer"]
            rows.append((f"2,000/s, seed {seed}: p50 direct / through",
                         f"{d['p50_ms']:.3f} / {t['p50_ms']:.3f} ms"))
            rows.append((f"2,000/s, seed {seed}: p99 direct / through / added",
                         f"{d['p99_ms']:.3f} / {t['p99_ms']:.3f} / "
                         f"{t['p99_ms'] - d['p99_ms']:.3f} ms"))


def measure_throughput(build_dir, rows):
    with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=4, capacity=256,
               workers=4) as fleet:
        for rate in (5000, 10000, 20000, 30000):
            loads = [fleet.start_load(LOOKUP_MIX, rate / 3, 4, seed=seed)
                     for seed in (1, 2, 3)]
            reports = [load_report(load) for load in loads]
            completed = sum(r["completed"] for r in reports)
            p99 = max(r["whole_answer"]["p99_ms"] for r in reports)
            rows.append((f"offered {rate}/s to one entry node (4 workers)",
                         f"{completed / 4:.0f} completed/s, p99 {p99:.1f} ms"))


def measure_idle(build_dir, rows):
    for agents in (4, 8, 16):
        with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=agents) as fleet:
            time.sleep(2)
            nodes = {"entry-1": fleet.processes["entry-1"].popen.pid,
                     "portal-1": fleet.processes["portal-1"].popen.pid}
            before = {n: (cpu_seconds(p), fleet.state(n)) for n, p in nodes.items()}
            time.sleep(IDLE_SECONDS)
            for name, pid in nodes.items():
                cpu = (cpu_seconds(pid) - before[name][0]) / IDLE_SECONDS
                old, new = before[name][1], fleet.state(name)
                sent = sum(new[k] - old[k] for k in
                           ("heartbeat_sent_bytes", "heartbeat_received_bytes"))
                rows.append((f"idle, {agents} agents: {name}",
                             f"{100 * cpu:.2f}% of a core, "
                             f"{resident_megabytes(pid):.1f} MB, heartbeats "
                             f"{sent / IDLE_SECONDS:.0f} B/s"))


KEYED_MIX = """kinds:
  - {name: issue, shape: issue, path: /portal/certificates, organisations: [large]}
"""


def measure_cost_per_request(build_dir, rows):
    for kind, mix in (("lookup", LOOKUP_MIX), ("keyed", KEYED_MIX)):
        for rate in (500, 1000, 2000):
            with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=1,
                       capacity=256) as fleet:
                pids = {n: fleet.processes[n].popen.pid
                        for n in ("entry-1", "portal-1")}
                before = {n: cpu_seconds(p) for n, p in pids.items()}
                result = load_report(fleet.start_load(mix, rate, 5))
                sent = max(1, result["sent"])
                costs = ", ".join(
                    f"{n} {1e6 * (cpu_seconds(p) - before[n]) / sent:.0f} us"
                    for n, p in pids.items())
                _, body, _ = http_call(fleet.address("platform"), "/calls")
                writes = json.loads(body).get("/rows-tx", 0)
                rows.append((f"{kind} requests at {rate}/s: processor time a "
                             "request", costs))
                if kind == "keyed":
                    rows.append((f"keyed requests at {rate}/s: table writes",
                                 f"{writes / 5:.0f}/s, {writes / sent:.2f} a "
                                 "request, p50 "
                                 f"{result['whole_answer']['p50_ms']:.1f} ms"))


def measure_cost_per_token(build_dir, rows):
    for rate in (50, 100, 200):
        mix = f"""kinds:
  - {{name: draft, shape: chat, path: /v1/chat/completions, organisations: [large], tokens: 64}}
"""
        with Fleet(build_dir, entries=1, engine_agents=2, plain_agents=0, capacity=64,
                   engine_options={"max_streams": 64}) as fleet:
            pids = {n: fleet.processes[n].popen.pid for n in ("entry-1", "draft-1")}
            before = {n: cpu_seconds(p) for n, p in pids.items()}
            result = load_report(fleet.start_load(mix, rate, 5))
            tokens = max(1, 64 * result["completed"])
            # Each of the two agents streams about half of the tokens. Only draft-1 is
            # measured, so its cost is doubled.
            costs = ", ".join(
                f"{n} {1e6 * (cpu_seconds(p) - before[n]) / tokens * (1 if n == 'entry-1' else 2):.0f} us"
                for n, p in pids.items())
            rows.append((f"{64 * rate} tokens/s streamed: processor time a token",
                         costs))


def main():
    build_dir, output = sys.argv[1], sys.argv[2]
    rows = []
    measure_latency(build_dir, rows)
    measure_throughput(build_dir, rows)
    measure_cost_per_request(build_dir, rows)
    measure_cost_per_token(build_dir, rows)
    measure_idle(build_dir, rows)
    lines = ["<!-- Written by make bench. -->", "", "| measured | figure |",
             "|---|---|"]
    lines += [f"| {name} | {value} |" for name, value in rows]
    with open(output, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
