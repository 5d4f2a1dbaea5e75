"""What must hold in every run, from what callers and back ends saw."""

from callers import NOT_RUN_STATUSES, expected_answer

# Bounds that the platform states, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_S = 2.0
DRAIN_S = 2.0
ROLLBACK_SLACK_S = 0.25
LOST_S = 0.2
# Of the requests after the recovery at least a quarter must be served.
MIN_RECOVERED = 0.25


def broken(run):
    """All violations as text."""
    failures = list(run.exits)
    for attempt in run.attempts:
        runs = run.ledger.runs.get(attempt.id, [])
        failures += check_runs(attempt, runs)
        failures += check_answer(attempt, runs)
        failures += check_lost(run, attempt, runs)
    failures += check_unasked(run)
    failures += check_drain(run)
    failures += check_config(run)
    failures += check_recovery(run)
    return failures


def is_calm(run, begin, end):
    """No unplanned disturbance from the stable window before begin to end."""
    return not any(
        start < end and stop > begin - STABLE_WINDOW_S
        for start, stop, _ in run.disturbances
    )


def check_runs(attempt, runs):
    failures = []
    if attempt.path.startswith("/pay/") and len(runs) > 1:
        failures.append(f"{attempt.id} must run once and ran {len(runs)} times")
    for one in runs:
        if one["digest"] != attempt.digest:
            failures.append(f"{attempt.id} reached {one['id']} changed")
        if one["tenant"] != "org-one" or one["key"]:
            failures.append(f"{attempt.id} reached {one['id']} as {one['tenant']}, "
                            f"key {one['key']}")
    if attempt.end == "whole" and attempt.status in NOT_RUN_STATUSES and runs \
            and "server-stamp" not in attempt.fields:
        failures.append(f"{attempt.id} was answered {attempt.status} and has run")
    return failures


def check_answer(attempt, runs):
    if attempt.end != "whole":
        return []
    if attempt.fields.get("request-id") != attempt.id and attempt.status == 200:
        return [f"{attempt.id} got the answer to {attempt.fields.get('request-id')}"]
    if attempt.status in (401, 403, 404, 400):
        return [f"{attempt.id} is proper and was denied with {attempt.status}"]
    if attempt.status != 200:
        return []
    stamps = {f"{one['id']}.{attempt.id}" for one in runs}
    if attempt.fields.get("server-stamp") not in stamps:
        return [f"{attempt.id} has no back end's stamp"]
    if attempt.answer != expected_answer(attempt):
        return [f"{attempt.id} has {len(attempt.answer)} bytes that are not its answer"]
    return []


def check_lost(run, attempt, runs):
    """Planned work must not cut a request that a node has read."""
    if attempt.end not in ("closed", "cut"):
        return []
    is_read = runs or attempt.ended - attempt.sent > LOST_S
    if is_read and is_calm(run, attempt.sent, attempt.ended):
        return [f"{attempt.id} at {attempt.node} was {attempt.end} after "
                f"{attempt.ended - attempt.sent:.2f} s around planned work"]
    return []


def check_unasked(run):
    asked = {attempt.id for attempt in run.attempts}
    return [f"{id} ran and nobody had sent it" for id in run.ledger.runs
            if id not in asked]


def check_drain(run):
    by_id = {attempt.id: attempt for attempt in run.attempts}
    failures = []
    for at, request_id, backend in run.ledger.arrivals:
        if backend.drained_at and at > backend.drained_at + DRAIN_S \
                and is_calm(run, backend.drained_at, at):
            node = by_id[request_id].node if request_id in by_id else "?"
            failures.append(f"{request_id} from {node} reached {backend.id} "
                            f"{at - backend.drained_at:.2f} s after it was leaving")
    return failures


def service_of(version):
    return f"m{version % 3}"


def check_config(run):
    failures = []
    # By node and incarnation: the newest version that an answer has proved, and
    # since when.
    proved = {}
    served = [(runs[0], a) for a in run.attempts
              if a.path.startswith("/moved/")
              for runs in [run.ledger.runs.get(a.id)] if runs]
    for one, attempt in sorted(served, key=lambda item: item[0]["at"]):
        acked = [v for at, v in run.acks if at + CONFIG_S < attempt.sent]
        sent = [v for at, v in run.acks if at <= one["at"]]
        # A version may take effect before its acknowledgement is read.
        later = [v for at, v in run.acks if at > one["at"]][:1]
        allowed = [v for v in sent + later if service_of(v) == one["service"]]
        if not allowed:
            failures.append(f"{attempt.id} ran at {one['service']}, which no version allows")
            continue
        if acked and max(allowed) < acked[-1] and is_calm(run, attempt.sent - CONFIG_S,
                                                          one["at"]):
            failures.append(f"{attempt.id} at {attempt.node} was handled as version "
                            f"{max(allowed)}, {acked[-1]} was acknowledged over 2 s before")
        key = (attempt.node, attempt.incarnation)
        known, since = proved.get(key, (0, 0.0))
        if max(allowed) < known and attempt.sent > since + ROLLBACK_SLACK_S:
            failures.append(f"{attempt.id} at {attempt.node} went back from version "
                            f"{known} to {max(allowed)}")
        if min(allowed) > known:
            proved[key] = (min(allowed), one["at"])
    return failures


def check_recovery(run):
    from soak import JUDGED_S, RECOVER_S
    begin = run.healed_at + RECOVER_S
    judged = [a for a in run.attempts if a.sent >= begin and a.end != "left"]
    served = sum(a.end == "whole" and a.status == 200 for a in judged)
    if not judged or served < MIN_RECOVERED * len(judged):
        return [f"{served} of {len(judged)} requests were served in the last "
                f"{JUDGED_S} s"]
    return []
