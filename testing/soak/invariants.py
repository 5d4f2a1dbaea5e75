"""Invariants of every run, checked on what callers and backend servers recorded."""

from callers import NOT_EXECUTED_STATUSES, expected_body
from nodes import SHUTDOWN_GRACE_S

# Time bounds that the platform states, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_PROPAGATION_S = 2.0
DRAIN_PROPAGATION_S = 2.0
ROLLBACK_SLACK_S = 0.25
# Time from a decline with a pause after which at most PAUSE_ALLOWANCE more
# requests may arrive from the same node until the end of the pause.
PAUSE_SLACK_S = 0.5
PAUSE_ALLOWANCE = 2
# Causes of faults: all connections of a kind fall silent.
SILENCES = ("silence store", "silence servers")
# A node is assumed to have read a request that was open for longer than this.
READ_ASSUMED_AFTER_S = 0.2
# A stop may cut a request that was sent until this time after it, if a server was
# still at work on it in the last sixth of the grace period.
CUT_ALLOWED_AFTER_S = 3.0
# The services to which every configuration sends the requests of a route; /moved/
# is checked by check_config().
SERVICES = {"pay": "pay", "look": "pay", "draft": "draft", "once": "draft",
            "long": "draft"}
# Minimum share of the requests after the recovery phase that must be served.
MIN_SERVED_RATIO = 0.25


def find_violations(run):
    """Returns a description of each violation."""
    failures = list(run.process_failures)
    for request in run.requests:
        executions = run.ledger.executions.get(request.id, [])
        failures += check_executions(request, executions)
        failures += check_response(run, request, executions)
        failures += check_no_lost_requests(run, request, executions)
    failures += check_no_unsent_requests(run)
    failures += check_drain(run)
    failures += check_leaving(run)
    failures += check_pauses(run)
    failures += check_config(run)
    failures += check_recovery(run)
    return failures


def is_fault_free(run, begin, end, besides=()):
    """Whether no fault overlaps the time from STABLE_WINDOW_S before begin to end,
    besides those of the given causes."""
    return not any(
        start < end and stop > begin - STABLE_WINDOW_S
        for start, stop, cause in run.fault_windows if cause not in besides
    )


def check_executions(request, executions):
    failures = []
    if request.path.startswith(("/pay/", "/once/")) and len(executions) > 1:
        failures.append(f"{request.id} must be executed once and was executed "
                        f"{len(executions)} times")
    service = SERVICES.get(request.path.split("/")[1])
    for execution in executions:
        if service and execution["service"] != service:
            failures.append(f"{request.id} on {request.path} was executed by "
                            f"{execution['id']} of {execution['service']}")
        if execution["digest"] != request.digest:
            failures.append(f"{request.id} reached {execution['id']} with changed "
                            "content")
        if execution["tenant"] != "org-one" or execution["key"]:
            failures.append(f"{request.id} reached {execution['id']} as tenant "
                            f"{execution['tenant']} with key {execution['key']}")
    if request.outcome == "complete" and request.status in NOT_EXECUTED_STATUSES \
            and executions:
        failures.append(f"{request.id} was executed but answered with {request.status}")
    return failures


def check_response(run, request, executions):
    if request.outcome == "garbled":
        return [f"{request.id} got bytes that are no response"]
    if request.unasked:
        return [f"{request.id} was followed by {request.unasked[:40]!r}, for which "
                "nobody asked"]
    if request.status and request.response_headers.get("request-id") != request.id:
        return [f"{request.id} got the response to "
                f"{request.response_headers.get('request-id')}"]
    if request.status == 200 and request.outcome != "complete" \
            and not expected_body(request).startswith(request.response_body) \
            and request.response_body not in \
            run.ledger.spoiled_first_events.get(request.id, ()):
        return [f"{request.id} was {request.outcome} after the unexpected "
                f"{request.response_body[-80:]!r}"]
    if request.outcome != "complete":
        return []
    given = run.ledger.statuses.get(request.id, set())
    if "server-stamp" in request.response_headers and request.status not in given:
        return [f"{request.id} has a stamp and status {request.status}, but the servers "
                f"gave {sorted(given)}"]
    if request.status in (401, 403, 404, 400):
        return [f"{request.id} is valid but was rejected with {request.status}"]
    if request.status != 200:
        return []
    stamps = {f"{execution['id']}.{request.id}" for execution in executions}
    if request.response_headers.get("server-stamp") not in stamps:
        return [f"{request.id} has no backend server's stamp"]
    if request.response_body != expected_body(request):
        return [f"{request.id} on {request.path} has an unexpected response body of "
                f"{len(request.response_body)} bytes: {request.response_body[:200]!r}"]
    return []


def check_no_lost_requests(run, request, executions):
    """Planned operations must not cut a request that a node has read."""
    if request.outcome not in ("closed", "cut") or request.id in run.ledger.disturbed:
        return []
    is_read = executions or request.ended_at - request.sent_at > READ_ASSUMED_AFTER_S
    if is_read and not may_be_cut(run, request) \
            and is_fault_free(run, request.sent_at, request.ended_at):
        return [f"{request.id} at {request.node} was {request.outcome} after "
                f"{request.ended_at - request.sent_at:.2f} s without an injected "
                "fault"]
    return []


def may_be_cut(run, request):
    """Whether the request outlived the grace period of a stop of its node."""
    worked_at = run.ledger.worked_at.get(request.id, 0.0)
    return any(name == request.node and begin <= request.ended_at
               and request.sent_at <= begin + CUT_ALLOWED_AFTER_S
               and worked_at >= begin + SHUTDOWN_GRACE_S * 5 / 6
               for begin, _, name, _ in run.planned_operations)


def check_no_unsent_requests(run):
    sent_ids = {request.id for request in run.requests}
    return [f"{id} was executed but not sent by any caller"
            for id in run.ledger.executions if id not in sent_ids]


def check_drain(run):
    by_id = {request.id: request for request in run.requests}
    # Connections that fall silent count as a reset, after which the nodes are
    # undisturbed again once STABLE_WINDOW_S has passed.
    silences = [(begin, end) for begin, end, cause in run.fault_windows
                if cause in SILENCES]
    failures = []
    for at, request_id, backend in run.ledger.arrivals:
        if backend.drained_at and at > backend.drained_at + DRAIN_PROPAGATION_S \
                and is_fault_free(run, backend.drained_at, at, SILENCES) \
                and not any(begin <= at <= end + STABLE_WINDOW_S
                            for begin, end in silences):
            node = by_id[request_id].node if request_id in by_id else "?"
            failures.append(f"{request_id} from {node} reached {backend.id} "
                            f"{at - backend.drained_at:.2f} s after its drain began")
    return failures


def stood_still(run, name, begin, end):
    """Whether the node was paused between begin and end."""
    return any(start < end and stop > begin
               for node in run.nodes if node.name == name
               for start, stop in node.paused)


def check_leaving(run):
    """A node that has passed on an answer of a leaving server sends it nothing more,
    in reach of the store or not."""
    by_id = {request.id: request for request in run.requests}
    # By node, incarnation and backend server: end of the first such answer.
    told = {}
    for request in run.requests:
        if request.outcome != "complete" \
                or request.response_headers.get("server-leaving") != "1":
            continue
        server = request.response_headers["server-stamp"].split(".")[0]
        key = (request.node, request.incarnation, server)
        told[key] = min(told.get(key, request.ended_at), request.ended_at)
    failures = []
    for at, request_id, backend in run.ledger.arrivals:
        request = by_id.get(request_id)
        if not request:
            continue
        since = told.get((request.node, request.incarnation, backend.id))
        if since and request.sent_at > since + DRAIN_PROPAGATION_S \
                and not stood_still(run, request.node, since, at):
            failures.append(f"{request_id} from {request.node} reached {backend.id} "
                            f"{at - since:.2f} s after it had said that it leaves")
    return failures


def check_pauses(run):
    """A server that asked a node for a pause hears little from it until the end."""
    by_id = {request.id: request for request in run.requests}
    disturbed = [f for f in run.fault_windows
                 if f[2].split()[0] in ("link", "kill", "start", "crash", "machine")]
    failures = []
    for told_at, told_id, backend, pause_s in run.ledger.pauses:
        asker = by_id.get(told_id)
        begin, end = told_at + PAUSE_SLACK_S, told_at + pause_s
        if not asker or stood_still(run, asker.node, told_at, end) or any(
                start < end and stop > told_at for start, stop, _ in disturbed):
            continue
        later = [id for at, id, other in run.ledger.arrivals
                 if other is backend and begin < at < end and id in by_id
                 and (by_id[id].node, by_id[id].incarnation)
                 == (asker.node, asker.incarnation)]
        if len(later) > PAUSE_ALLOWANCE:
            failures.append(f"{len(later)} requests from {asker.node} reached "
                            f"{backend.id} within the {pause_s} s for which it had "
                            f"asked for none, such as {later[0]}")
    return failures


def service_of(version):
    """Returns the service to which a configuration version routes /moved/."""
    return f"m{version % 3}"


def check_config(run):
    failures = []
    # By node and incarnation: the newest version that an execution proves to be
    # in effect, and the time of that execution.
    proven_versions = {}
    served = [(executions[0], r) for r in run.requests
              if r.path.startswith("/moved/")
              for executions in [run.ledger.executions.get(r.id)] if executions]
    for execution, request in sorted(served, key=lambda item: item[0]["at"]):
        acked = [v for at, v in run.acknowledged_versions
                 if at + CONFIG_PROPAGATION_S < request.sent_at]
        earlier = [v for at, v in run.acknowledged_versions if at <= execution["at"]]
        # A version may take effect before its acknowledgement is read.
        later = [v for at, v in run.acknowledged_versions if at > execution["at"]][:1]
        allowed = [v for v in earlier + later if service_of(v) == execution["service"]]
        if not allowed:
            failures.append(f"{request.id} was executed by {execution['service']}, "
                            "which no configuration version allows")
            continue
        if acked and max(allowed) < acked[-1] and is_fault_free(
                run, request.sent_at - CONFIG_PROPAGATION_S, execution["at"]):
            failures.append(f"{request.id} at {request.node} was routed by version "
                            f"{max(allowed)}, but {acked[-1]} was acknowledged over "
                            "2 s before")
        key = (request.node, request.incarnation)
        known, since = proven_versions.get(key, (0, 0.0))
        if max(allowed) < known and request.sent_at > since + ROLLBACK_SLACK_S:
            failures.append(f"{request.id} at {request.node} was routed by an older "
                            f"version than before: {known}, then {max(allowed)}")
        if min(allowed) > known:
            proven_versions[key] = (min(allowed), execution["at"])
    return failures


def check_recovery(run):
    # Imported here because soak.py imports this module.
    from soak import MEASURED_PHASE_S, RECOVERY_PHASE_S
    begin = run.faults_ended_at + RECOVERY_PHASE_S
    measured = [r for r in run.requests
                if r.sent_at >= begin and r.outcome != "timeout"]
    served = sum(r.outcome == "complete" and r.status == 200 for r in measured)
    if not measured or served < MIN_SERVED_RATIO * len(measured):
        return [f"{served} of {len(measured)} requests were served in the last "
                f"{MEASURED_PHASE_S} s"]
    return []
