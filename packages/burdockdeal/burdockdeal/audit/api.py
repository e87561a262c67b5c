"""Recording of failed changes, and the API that reads the trail."""

from collections import abc

from aiohttp import web

from burdockdeal.audit import audit_log
from burdockdeal.audit import decisions
from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages as configuration
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors

#: Maximum number of records of one page.
MAX_PAGE_RECORDS = 1000

_OUTCOMES = {
    errors.ConflictError: messages.Outcome.SUPERSEDED,
    writer.ChangeUncertainError: messages.Outcome.UNCERTAIN,
}

#: Records the result of a change.
RecordResult = abc.Callable[
    [writer.ChangeRequest, writer.Accepted | errors.BurdockdealError], None
]


def make_rejection_recorder(
    audit_trail: audit_log.AuditLog,
    active: active_configuration.ActiveConfiguration,
    wall_ms: abc.Callable[[], int],
) -> RecordResult:
    """Build the function that records the changes that were not accepted.

    Accepted changes are in the change log and need no other record.

    :param audit_trail: the audit log.
    :param active: the active configuration.
    :param wall_ms: returns wall-clock time in milliseconds.
    """

    def record_result(
        request: writer.ChangeRequest,
        result: writer.Accepted | errors.BurdockdealError,
    ) -> None:
        if isinstance(result, writer.Accepted):
            return
        current = active.configuration.resources.get(request.key)
        action = (
            configuration.Action.PUT
            if request.is_put
            else (configuration.Action.DELETE)
        )
        audit_trail.record(
            messages.Record(
                at_ms=wall_ms(),
                operator=request.operator,
                resource=str(request.key),
                action=action,
                from_generation=current.generation if current else 0,
                to_generation=0,
                outcome=_OUTCOMES.get(type(result), messages.Outcome.REFUSED),
                detail=str(result),
                change_id=request.change_id,
            )
        )

    return record_result


def _read_query(request: web.Request) -> state.Query:
    parameters = request.query
    violations = []
    limit = parameters.get("limit", "200")
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_PAGE_RECORDS:
        violations.append(
            errors.FieldViolation(
                "limit", f"1 to {MAX_PAGE_RECORDS} is expected"
            )
        )
    cursor = decisions.parse_cursor(parameters.get("cursor", ""))
    if cursor is None:
        violations.append(
            errors.FieldViolation("cursor", "is not one of this trail")
        )
    outcome = parameters.get("outcome", "")
    if outcome and outcome not in set(messages.Outcome):
        known = ", ".join(messages.Outcome)
        violations.append(
            errors.FieldViolation("outcome", f"one of {known} is expected")
        )
    if violations:
        raise errors.ResourceError(request.path, tuple(violations))
    return state.Query(
        operator=parameters.get("operator", ""),
        resource=parameters.get("resource", ""),
        outcome=outcome,
        change_id=parameters.get("change_id", ""),
        limit=int(limit),
        cursor=cursor,
    )


def add_routes(app: web.Application, audit_trail: audit_log.AuditLog) -> None:
    """Add the route of the audit trail to the operators' application."""

    async def get(request: web.Request) -> web.Response:
        page = await audit_trail.read_page(_read_query(request))
        return web.Response(
            body=codec.encode(page), content_type="application/json"
        )

    app.router.add_get("/v1/audit", get)
