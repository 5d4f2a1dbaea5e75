#!/usr/bin/env python3
"""Runs a fleet on loopback under a mixed load and kills two agents meanwhile.

usage: demo.py BUILD-FOLDER
"""

import json
import sys
import time

from fleet import MIX, SITE, Fleet, http_call

RATE = 300
SECONDS = 10


def main():
    build_dir = sys.argv[1]
    with Fleet(build_dir, entries=2, engine_agents=3, plain_agents=3) as fleet:
        print(f"started two entry nodes and six agents; logs are in {fleet.dir}")
        load = fleet.start_load(MIX, RATE, SECONDS)
        time.sleep(SECONDS / 2)
        print("killing agents portal-1 and draft-1 halfway through the load")
        fleet.processes["portal-1"].kill()
        fleet.processes["draft-1"].kill()
        report = json.loads(load.communicate()[0])
        status, _, headers = http_call(
            fleet.callers_address("entry-1"), "/portal/plants/7",
            headers={"Ragwort-Organisation": "small"})
        print(fleet.run_ctl("status", "--site", SITE).stdout)
        request = headers.get("Ragwort-Request-Id", "")
        print(fleet.run_ctl("explain", request, "--site", SITE).stdout)
    print(f"sent       {report['sent']}")
    print(f"completed  {report['completed']}")
    print(f"refused    {report['not_run']}  (reported as not run)")
    print(f"unknown    {report['unknown']}  cut streams {report['cut']}")
    for reason, count in report["reasons"].items():
        print(f"  {reason}: {count}")
    print(f"wrong      {report['wrong']}")
    print(f"doubled    {report['doubled']}")
    print(f"refused but run    {report['false_not_run']}")
    for name in ("first_token", "between_tokens", "whole_answer"):
        times = report[name]
        print(f"{name}: p50 {times['p50_ms']} ms, p95 {times['p95_ms']} ms, "
              f"p99 {times['p99_ms']} ms")
    is_clean = status == 200 and not any(
        report[key] for key in ("wrong", "doubled", "false_not_run",
                                "false_completed", "no_answer"))
    return 0 if is_clean and report["completed"] > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
