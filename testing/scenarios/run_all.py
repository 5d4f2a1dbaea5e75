#!/usr/bin/env python3
"""Failure scenarios on real processes. Prints the results of each.

usage: run_all.py BUILD-FOLDER [SCENARIO ...]
"""

import base64
import json
import signal
import sys
import threading
import time

from fleet import MIX, SITE, Fleet, http_call

ISSUE_MIX = """kinds:
  - {name: issue, shape: issue, path: /portal/certificates, organisations: [large, small], weight: 1, repeat_percent: 30, deadline_ms: 4000}
"""
# Longest time from SIGTERM to an agent until the last new request at its backend
# server.
LEAVING_BOUND_S = 3.0
# Longest time from a configuration write until it is in effect on all nodes.
CONFIG_BOUND_S = 5.0
# Highest load of a rank divided by the mean load: 5% above the lower bound, which
# is 1 here.
SKEW_BOUND = 1.05


class Check:
    """Prints the result of each check of a scenario and collects the failures."""

    def __init__(self, name):
        self.name = name
        self.failures = []

    def expect(self, condition, text):
        print(f"  {'ok  ' if condition else 'FAIL'} {text}")
        if not condition:
            self.failures.append(f"{self.name}: {text}")


def summary(report):
    keys = ("sent", "completed", "not_run", "unknown", "no_answer", "cut",
            "wrong", "doubled", "false_not_run", "false_completed")
    return " ".join(f"{key}={report[key]}" for key in keys if key in report)


def expect_no_false_outcomes(check, report):
    print("  " + summary(report))
    for reason, count in report["reasons"].items():
        print(f"    {reason}: {count}")
    for key in ("wrong", "doubled", "false_not_run", "false_completed"):
        check.expect(report[key] == 0, f"{key} is {report[key]}")


def owner_of_most_shards(fleet):
    owners = {}
    for shard in range(8):
        key = f"journal/{shard}/head"
        _, body, _ = http_call(fleet.address("platform"),
                               "/rows-get?table=ragwort&part=&limit=1"
                               f"&from={key}&target={key}%00")
        rows = json.loads(body)["rows"] if body else []
        if rows:
            owner = json.loads(base64.b64decode(rows[0]["value"]))["owner"]
            owners[owner] = owners.get(owner, 0) + 1
    return max(owners, key=owners.get) if owners else fleet.entries[0]


def keyed_requests_under_failures(build_dir, check):
    """Keyed requests during kills, a freeze, a store outage and lost responses."""
    with Fleet(build_dir, entries=3, engine_agents=0, plain_agents=3,
               plain_options={"work_us": 2000}) as fleet:
        load = fleet.start_load(ISSUE_MIX, 150, 24)
        time.sleep(2)
        print("  kill -9 one agent, restart it after 1 s")
        fleet.processes["portal-1"].kill()
        time.sleep(1)
        fleet.start_agent("portal-1")
        time.sleep(2)
        frozen = owner_of_most_shards(fleet)
        print(f"  SIGSTOP {frozen}, owner of most shards, for 4 s")
        fleet.processes[frozen].send_signal(signal.SIGSTOP)
        time.sleep(4)
        fleet.processes[frozen].send_signal(signal.SIGCONT)
        time.sleep(2)
        print("  platform down for 3 s")
        fleet.inject_faults("platform", down=True)
        time.sleep(3)
        fleet.inject_faults("platform", down=False)
        time.sleep(2)
        print("  the platform loses the responses to the next 10 writes")
        fleet.inject_faults("platform", lose_answers=10)
        time.sleep(2)
        killed = owner_of_most_shards(fleet)
        print(f"  kill -9 {killed}, restart it after 1 s")
        fleet.processes[killed].kill()
        time.sleep(1)
        fleet.start_entry(killed)
        report = json.loads(load.communicate()[0])
    expect_no_false_outcomes(check, report)
    served = report["completed"] / max(1, report["sent"])
    print(f"  share of keyed requests that completed: {served:.3f}")
    check.expect(served > 0.5, "more than half of the requests completed")


def cuts_at_every_point(build_dir, check):
    """Connections are cut before the execution, after it and within the response."""
    with Fleet(build_dir, entries=2, engine_agents=0, plain_agents=2) as fleet:
        load = fleet.start_load(ISSUE_MIX, 200, 8)
        for cut in ("head", "body", "answer"):
            time.sleep(1.5)
            for name in fleet.plain_agents:
                fleet.inject_faults(name + "/backend", cut=cut, cuts=10)
        report = json.loads(load.communicate()[0])
    expect_no_false_outcomes(check, report)
    check.expect(report["unknown"] > 0, "cut requests were reported as unknown")


def rolling_replacement(build_dir, check):
    """SIGTERM to each node in turn under load; no request is cut."""
    with Fleet(build_dir, entries=2, engine_agents=2, plain_agents=2) as fleet:
        load = fleet.start_load(MIX, 150, 30)
        time.sleep(2)
        for name in fleet.engine_agents + fleet.plain_agents + fleet.entries:
            process = fleet.processes[name]
            process.send_signal(signal.SIGTERM)
            process.popen.wait(timeout=30)
            check.expect(process.popen.returncode == 0, f"{name} exits with 0")
            if name in fleet.entries:
                fleet.start_entry(name)
            else:
                fleet.start_agent(name)
            for entry in fleet.entries:
                fleet.wait_until(lambda e=entry: fleet.sees_all_agents(e), entry)
        report = json.loads(load.communicate()[0])
    expect_no_false_outcomes(check, report)
    for key in ("unknown", "no_answer", "cut"):
        check.expect(report[key] == 0, f"{key} is {report[key]}")


def leaving_backend(build_dir, check):
    """A leaving agent gets no new requests, even without the server list and store."""
    with Fleet(build_dir, entries=2, engine_agents=0, plain_agents=2) as fleet:
        fleet.inject_faults("platform", down=True, list_lag_ms=60000)
        # Lookups instead of chats, because the fleet has no engines.
        load = fleet.start_load(MIX.replace("chat", "lookup").replace(
            "/v1/lookup/completions", "/portal/x/"), 200, 8)
        time.sleep(2)
        fleet.processes["portal-1"].send_signal(signal.SIGSTOP)
        fleet.processes["portal-1"].send_signal(signal.SIGCONT)
        before = time.monotonic()
        fleet.processes["portal-1"].send_signal(signal.SIGTERM)
        last_change, last_count = before, None
        while time.monotonic() - before < 4:
            _, body, _ = http_call(fleet.backend_address("portal-1"), "/requests")
            count = json.loads(body)["requests"]
            if count != last_count:
                last_change, last_count = time.monotonic(), count
            time.sleep(0.01)
        report = json.loads(load.communicate()[0])
    expect_no_false_outcomes(check, report)
    elapsed_s = last_change - before
    check.expect(elapsed_s <= LEAVING_BOUND_S,
                 f"last new request {elapsed_s:.2f} s after the signal")


def configuration(build_dir, check):
    """Concurrent writes, a lost response, a restart while the store is down."""
    with Fleet(build_dir, entries=2, engine_agents=1, plain_agents=1) as fleet:
        nodes = fleet.entries + fleet.engine_agents + fleet.plain_agents

        def versions():
            states = [fleet.state(node) for node in nodes]
            return [s["config_version"] if s else 0 for s in states]

        results = []

        def race(share):
            path = fleet.write(f"race-{share}.yaml", fleet.base_config((share, 30)))
            results.append(fleet.run_ctl("apply", "base", path, "--expect", "2"))

        threads = [threading.Thread(target=race, args=(s,)) for s in (50, 55, 45)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [r for r in results if r.returncode == 0]
        check.expect(len(accepted) == 1,
                     f"{len(accepted)} of 3 concurrent writes accepted")
        refused = [r for r in results if r.returncode != 0]
        check.expect(all("refused: the configuration is at version 3" in r.stderr
                         for r in refused),
                     "the other writes are refused with the current version")
        begin = time.monotonic()
        fleet.wait_until(lambda: min(versions()) == 3, "version 3 everywhere")
        elapsed_s = time.monotonic() - begin
        check.expect(elapsed_s <= CONFIG_BOUND_S,
                     f"in effect on all nodes {elapsed_s:.2f} s later")

        fleet.inject_faults("platform", lose_answers=1)
        text = fleet.base_config((40, 30))
        check.expect("accepted as version 4" in fleet.apply("base", text, 3),
                     "a write whose response was lost is reported as accepted")
        fleet.inject_faults("platform", down=True)
        fleet.processes["entry-1"].kill()
        fleet.start_entry("entry-1")
        fleet.wait_until(lambda: min(versions()) >= 4, "version 4 everywhere")
        check.expect(min(versions()) == 4,
                     "a node restarted while the store is down has version 4")
        bad = fleet.write("bad.yaml", fleet.base_config((90, 30)))
        fleet.inject_faults("platform", down=False)
        result = fleet.run_ctl("apply", "base", bad, "--expect", "4")
        check.expect(result.returncode == 1 and "over 100%" in result.stderr
                     and "bad.yaml:" in result.stderr,
                     "shares over 100% are refused with file and line")
        check.expect(max(versions()) == 4,
                     "the refused configuration does not take effect")


def bad_input(build_dir, check):
    """Malformed HTTP, frames and datagrams do not affect other callers."""
    import socket
    with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=1) as fleet:
        entry = fleet.entries[0]
        host, port = "127.0.0.1", fleet.port(entry + "/callers")
        peers = fleet.port(entry)
        for payload in (b"\x00\xff garbage\r\n\r\n",
                        b"GET / HTTP/1.1\r\nX: " + b"a" * 20000,
                        b"POST /portal/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"):
            with socket.create_connection((host, port)) as caller:
                caller.sendall(payload)
                caller.settimeout(5)
                reply = caller.recv(4096)
                check.expect(b"Ragwort-Outcome: not-run" in reply,
                             "refused: " + reply.split(b"\r\n")[0].decode())
        with socket.create_connection((host, peers)) as stranger:
            stranger.sendall(b"\x10\x00\x00\x00" + b"x" * 16)
            stranger.settimeout(10)
            check.expect(stranger.recv(10) == b"",
                         "the connection is closed after a malformed frame")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for size in (0, 1, 40, 1400, 5000):
                udp.sendto(b"z" * size, (host, peers))
        headers = {"Ragwort-Organisation": "large"}
        status, _, reply = http_call(fleet.callers_address(entry), "/portal/plants/1",
                                     headers=headers)
        check.expect(status == 200, "the next caller is served")
        status, _, _ = http_call(fleet.callers_address(entry), "/portal/plants/1")
        check.expect(status == 403, "a request without organisation gets 403")
        status, _, _ = http_call(fleet.callers_address(entry), "/nowhere",
                                 headers=headers)
        check.expect(status == 404, "a path without a service gets 404")
        status, _, _ = http_call(fleet.admin_address(entry), "/state")
        check.expect(status == 401, "the state dump needs the token")
        least = {"malformed_requests": 3, "handshakes_rejected": 1,
                 "heartbeat_dropped": 1}
        # A connection is closed before it is counted, by another thread.
        try:
            fleet.wait_until(lambda: all(fleet.state(entry)[name] >= count
                                         for name, count in least.items()),
                             "counters", timeout=5)
        except TimeoutError:
            pass  # Reported by the check.
        state = fleet.state(entry)
        check.expect(all(state[name] >= count for name, count in least.items()),
                     "the malformed messages are counted: "
                     f"{ {name: state[name] for name in least} }")


def whole_path(build_dir, check):
    """Requests through all processes, keyed repeats, the operators' tools."""
    with Fleet(build_dir, entries=2, engine_agents=1, plain_agents=1) as fleet:
        headers = {"Ragwort-Organisation": "large", "Idempotency-Key": "k-1",
                   "Content-Type": "application/json"}
        answers = [http_call(fleet.callers_address(entry), "/portal/certificates",
                             body="{}", headers=headers, method="POST")
                   for entry in fleet.entries + fleet.entries]
        check.expect(all(a[0] == 200 for a in answers), "all repeats are answered")
        check.expect(len({a[1] for a in answers}) == 1,
                     "all repeats get the same answer")
        check.expect(fleet.read_ledger() == {"k-1": 1}, "the ledger has one execution")
        status, _, _ = http_call(fleet.callers_address("entry-1"),
                                 "/portal/certificates", body="{\"other\":1}",
                                 headers=headers, method="POST")
        check.expect(status == 422, "reusing the key for another request gets 422")
        body = json.dumps({"stream": True, "max_tokens": 5,
                           "messages": [{"role": "user", "content": "hello"}]})
        status, text, reply = http_call(
            fleet.callers_address("entry-2"), "/v1/chat/completions", body=body,
            headers={"Ragwort-Organisation": "small"}, method="POST")
        check.expect(status == 200 and text.endswith("data: [DONE]\n\n")
                     and text.count("data:") == 6, "a stream arrives complete")
        check.expect(reply.get("Ragwort-Outcome") == "completed",
                     "the stream has its outcome header")
        owners = [shard for entry in fleet.entries
                  for shard in fleet.state(entry)["journal"]
                  if shard["phase"] == "serving"]
        check.expect(len(owners) == 1 and owners[0]["epoch"] == 1
                     and owners[0]["keys"] == 1,
                     "the state dump shows the owner of the key's shard")
        request = reply["Ragwort-Request-Id"]
        explained = fleet.run_ctl("explain", request, "--site", SITE)
        check.expect("sent to draft-1" in explained.stdout, "explain names the agent")
        status = fleet.run_ctl("status", "--site", SITE, "--json")
        states = {row["instance"]: row["state"] for row in json.loads(status.stdout)}
        check.expect(set(states.values()) == {"ready", "serving"},
                     "status shows every instance")


def rank_group(build_dir, check, checks_fencing=True):
    """All ranks use one map per step while agents are frozen and killed."""
    options = {"step_us": 5000, "shift_at_step": 1200, "experts": 64,
               "slots": 18, "checks_fencing": checks_fencing}
    with Fleet(build_dir, entries=1, engine_agents=0, plain_agents=0, ranks=4,
               group_options=options) as fleet:

        def group():
            return json.loads(http_call(fleet.backend_address("rank-0"), "/group")[1])

        def controller():
            for name in fleet.ranks:
                log = fleet.processes[name].read_log()
                if log.rfind("group-duty-taken") > log.rfind("group-duty-lost"):
                    if fleet.processes[name].is_running():
                        return name
            return fleet.ranks[0]

        fleet.wait_until(lambda: group()["step"] > 300, "the group to step")
        group_states = [fleet.state(name)["group"] for name in fleet.ranks]
        check.expect(sum(state["is_controller"] for state in group_states) == 1,
                     "the state dumps show one controller")
        skew_before = group()["skew"]
        fleet.wait_until(lambda: group()["switches"] >= 1, "a rebalanced map")
        fleet.wait_until(lambda: group()["skew"] < skew_before, "less skew")
        print(f"  skew {skew_before:.3f} before, {group()['skew']:.3f} after "
              f"the first rebalancing, at step {group()['step']}")
        controller_name = controller()
        print(f"  SIGSTOP {controller_name}, the controller, for 6 s")
        fleet.processes[controller_name].send_signal(signal.SIGSTOP)
        time.sleep(6)
        fleet.processes[controller_name].send_signal(signal.SIGCONT)
        step = group()["step"]
        fleet.wait_until(lambda: group()["step"] > step + 100, "steps after the freeze")
        controller_name = controller()
        print(f"  kill -9 {controller_name}, restart it")
        fleet.processes[controller_name].kill()
        fleet.start_agent(controller_name)
        step = group()["step"]
        fleet.wait_until(lambda: group()["step"] > step + 300, "steps after the kill")
        print("  kill -9 all agents, restart them")
        for name in fleet.ranks:
            fleet.processes[name].kill()
        for name in fleet.ranks:
            fleet.start_agent(name)
        step = group()["step"]
        fleet.wait_until(lambda: group()["step"] > step + 300,
                         "steps after the restart")
        try:
            fleet.wait_until(lambda: group()["skew"] <= SKEW_BOUND, "low skew")
        except TimeoutError:
            pass
        final_state = group()
    check.expect(final_state["skew"] <= SKEW_BOUND,
                 f"skew {final_state['skew']:.3f} after the last restart")
    print(f"  steps={final_state['step']} switches={final_state['switches']} "
          f"stalled_ticks={final_state['stalled_ticks']} "
          f"skew={final_state['skew']:.3f}")
    check.expect(final_state["violations"] == 0,
                 f"{final_state['violations']} steps in which ranks used different maps")


def rank_group_without_fencing(build_dir, check):
    """The rank_group scenario with engines that ignore fencing numbers."""
    rank_group(build_dir, check, checks_fencing=False)


SCENARIOS = [whole_path, bad_input, configuration, leaving_backend,
             cuts_at_every_point, rolling_replacement,
             keyed_requests_under_failures, rank_group,
             rank_group_without_fencing]


def main():
    build_dir, selected_names = sys.argv[1], sys.argv[2:]
    failures = []
    for scenario in SCENARIOS:
        if selected_names and scenario.__name__ not in selected_names:
            continue
        print(f"{scenario.__name__}: {scenario.__doc__}")
        check = Check(scenario.__name__)
        try:
            scenario(build_dir, check)
        except (TimeoutError, RuntimeError, OSError) as error:
            check.expect(False, f"aborted by {error}")
        failures += check.failures
    print(f"{len(failures)} checks failed")
    for failure in failures:
        print("  " + failure)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
