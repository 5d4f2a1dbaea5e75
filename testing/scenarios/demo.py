#!/usr/bin/env python3
"""Runs a fleet on loopback under a mixed load and kills an agent in it."""

import json
import sys
import time

from fleet import MIX, SITE, Fleet, http_call

RATE = 300
SECONDS = 10


def main():
    bin_dir = sys.argv[1]
    with Fleet(bin_dir, entries=2, engines=3, plains=3) as fleet:
        print(f"two entry nodes and six agents run; logs are in {fleet.dir}")
        load = fleet.load(MIX, RATE, SECONDS)
        time.sleep(SECONDS / 2)
        print("killing agents portal-1 and draft-1 in the middle of the load")
        fleet.processes["portal-1"].kill()
        fleet.processes["draft-1"].kill()
        report = json.loads(load.communicate()[0])
        status, _, headers = http_call(
            fleet.callers("entry-1"), "/portal/plants/7",
            headers={"Ragwort-Organisation": "small"})
        print(fleet.ctl("status", "--site", SITE).stdout)
        request = headers.get("Ragwort-Request-Id", "")
        print(fleet.ctl("explain", request, "--site", SITE).stdout)
    print(f"sent       {report['sent']}")
    print(f"completed  {report['completed']}")
    print(f"refused    {report['not_run']}  (told that it was not run)")
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
