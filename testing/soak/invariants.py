"""Invariants of every run, checked on what callers and backend servers recorded."""

from callers import NOT_EXECUTED_STATUSES, expected_body

# Time bounds that the platform states, in seconds.
STABLE_WINDOW_S = 3.0
CONFIG_PROPAGATION_S = 2.0
DRAIN_PROPAGATION_S = 2.0
ROLLBACK_SLACK_S = 0.25
# A node is assumed to have read a request that was open for longer than this.
READ_ASSUMED_AFTER_S = 0.2
# Minimum share of the requests after the recovery phase that must be served.
MIN_SERVED_RATIO = 0.25


def find_violations(run):
    """Returns a description of each violation."""
    failures = list(run.process_failures)
    for request in run.requests:
        executions = run.ledger.executions.get(request.id, [])
        failures += check_executions(request, executions)
        failures += check_response(request, executions)
        failures += check_no_lost_requests(run, request, executions)
    failures += check_no_unsent_requests(run)
    failures += check_drain(run)
    failures += check_config(run)
    failures += check_recovery(run)
    return failures


def is_fault_free(run, begin, end):
    """Whether no fault overlaps the time from STABLE_WINDOW_S before begin to end."""
    return not any(
        start < end and stop > begin - STABLE_WINDOW_S
        for start, stop, _ in run.fault_windows
    )


def check_executions(request, executions):
    failures = []
    if request.path.startswith("/pay/") and len(executions) > 1:
        failures.append(f"{request.id} must be executed once and was executed "
                        f"{len(executions)} times")
    for execution in executions:
        if execution["digest"] != request.digest:
            failures.append(f"{request.id} reached {execution['id']} with changed "
                            "content")
        if execution["tenant"] != "org-one" or execution["key"]:
            failures.append(f"{request.id} reached {execution['id']} as tenant "
                            f"{execution['tenant']} with key {execution['key']}")
    if request.outcome == "complete" and request.status in NOT_EXECUTED_STATUSES \
            and executions and "server-stamp" not in request.response_headers:
        failures.append(f"{request.id} was executed but answered with {request.status}")
    return failures


def check_response(request, executions):
    if request.outcome != "complete":
        return []
    if request.response_headers.get("request-id") != request.id \
            and request.status == 200:
        return [f"{request.id} got the response to "
                f"{request.response_headers.get('request-id')}"]
    if request.status in (401, 403, 404, 400):
        return [f"{request.id} is valid but was rejected with {request.status}"]
    if request.status != 200:
        return []
    stamps = {f"{execution['id']}.{request.id}" for execution in executions}
    if request.response_headers.get("server-stamp") not in stamps:
        return [f"{request.id} has no backend server's stamp"]
    if request.response_body != expected_body(request):
        return [f"{request.id} has an unexpected response body of "
                f"{len(request.response_body)} bytes"]
    return []


def check_no_lost_requests(run, request, executions):
    """Planned operations must not cut a request that a node has read."""
    if request.outcome not in ("closed", "cut"):
        return []
    is_read = executions or request.ended_at - request.sent_at > READ_ASSUMED_AFTER_S
    if is_read and is_fault_free(run, request.sent_at, request.ended_at):
        return [f"{request.id} at {request.node} was {request.outcome} after "
                f"{request.ended_at - request.sent_at:.2f} s without an injected "
                "fault"]
    return []


def check_no_unsent_requests(run):
    sent_ids = {request.id for request in run.requests}
    return [f"{id} was executed but not sent by any caller"
            for id in run.ledger.executions if id not in sent_ids]


def check_drain(run):
    by_id = {request.id: request for request in run.requests}
    failures = []
    for at, request_id, backend in run.ledger.arrivals:
        if backend.drained_at and at > backend.drained_at + DRAIN_PROPAGATION_S \
                and is_fault_free(run, backend.drained_at, at):
            node = by_id[request_id].node if request_id in by_id else "?"
            failures.append(f"{request_id} from {node} reached {backend.id} "
                            f"{at - backend.drained_at:.2f} s after its drain began")
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
