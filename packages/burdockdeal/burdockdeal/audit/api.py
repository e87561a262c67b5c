"""Reading of the audit trail."""

from collections import abc

from aiohttp import web

from burdockdeal.audit import decisions
from burdockdeal.audit import ledger
from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages as configuration
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors

#: Records of one page at most.
PAGE_LIMIT = 1000

_OUTCOMES = {
    errors.ConflictError: messages.Outcome.SUPERSEDED,
    writer.ChangeUncertainError: messages.Outcome.UNCERTAIN,
}

Judged = abc.Callable[
    [writer.ChangeRequest, writer.Accepted | errors.BurdockdealError], None
]


def make_judged(
    records: ledger.Ledger,
    in_force: active_configuration.ActiveConfiguration,
    wall_ms: abc.Callable[[], int],
) -> Judged:
    """Make the function that records how a change ended.

    Accepted changes stand in the change log and need no other record.
    """

    def judged(
        request: writer.ChangeRequest,
        result: writer.Accepted | errors.BurdockdealError,
    ) -> None:
        if isinstance(result, writer.Accepted):
            return
        stands = in_force.configuration.resources.get(request.key)
        action = (
            configuration.Action.PUT
            if request.is_put
            else (configuration.Action.DELETE)
        )
        records.note(
            messages.Record(
                at_ms=wall_ms(),
                operator=request.operator,
                resource=str(request.key),
                action=action,
                from_generation=stands.generation if stands else 0,
                to_generation=0,
                outcome=_OUTCOMES.get(type(result), messages.Outcome.REFUSED),
                detail=str(result),
                change_id=request.change_id,
            )
        )

    return judged


def _read_query(request: web.Request) -> state.Query:
    given = request.query
    faults = []
    limit = given.get("limit", "200")
    if not limit.isdecimal() or not 1 <= int(limit) <= PAGE_LIMIT:
        faults.append(
            errors.FieldViolation("limit", f"1 to {PAGE_LIMIT} is expected")
        )
    cursor = decisions.parse_cursor(given.get("cursor", ""))
    if cursor is None:
        faults.append(
            errors.FieldViolation("cursor", "is not one of this trail")
        )
    outcome = given.get("outcome", "")
    if outcome and outcome not in set(messages.Outcome):
        known = ", ".join(messages.Outcome)
        faults.append(
            errors.FieldViolation("outcome", f"one of {known} is expected")
        )
    if faults:
        raise errors.ResourceError(request.path, tuple(faults))
    return state.Query(
        operator=given.get("operator", ""),
        resource=given.get("resource", ""),
        outcome=outcome,
        change_id=given.get("change_id", ""),
        limit=int(limit),
        cursor=cursor,
    )


def add_routes(app: web.Application, records: ledger.Ledger) -> None:
    """Add the audit trail to the operators' application."""

    async def get(request: web.Request) -> web.Response:
        trail = await records.read(_read_query(request))
        return web.Response(
            body=codec.encode(trail), content_type="application/json"
        )

    app.router.add_get("/v1/audit", get)
