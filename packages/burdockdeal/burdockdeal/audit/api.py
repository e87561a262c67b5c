"""Reading of the audit trail."""

from aiohttp import web

from burdockdeal.audit import messages
from burdockdeal.configuration import messages as configuration
from burdockdeal.configuration import service
from burdockdeal.core import codec


def _record_of(change: configuration.Change) -> messages.Record:
    return messages.Record(
        at_ms=change.at_ms,
        operator=change.operator,
        resource=f"{change.kind}/{change.name}",
        action=change.action,
        from_generation=change.previous_generation,
        to_generation=change.revision,
        outcome="ACCEPTED",
    )


def add_routes(app: web.Application, standing: service.Standing) -> None:
    """Add the audit trail to the operators' application."""

    async def get(request: web.Request) -> web.Response:
        trail = messages.Trail(tuple(map(_record_of, standing.changes)))
        return web.Response(
            body=codec.encode(trail), content_type="application/json"
        )

    app.router.add_get("/v1/audit", get)
