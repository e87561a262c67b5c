"""The operators' application of a daemon."""

from aiohttp import web

from burdockdeal.configuration import api as configuration_api
from burdockdeal.configuration import assembly as configuration_assembly
from burdockdeal.core import codec
from burdockdeal.daemon import components
from burdockdeal.daemon import messages
from burdockdeal.daemon import metrics
from burdockdeal.platform import store

_OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


def build_app(
    shared: components.Components,
    platform: store.StoreClient,
    config_slice: configuration_assembly.Components,
    told: metrics.Metrics,
) -> web.Application:
    """Build the operators' application: health, status and resources."""

    def reply(message: object, status: int = 200) -> web.Response:
        return web.Response(
            body=codec.encode(message),
            status=status,
            content_type="application/json",
        )

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        missing = shared.list_missing()
        status = 503 if missing else 200
        return reply(messages.Ready(not missing, missing), status)

    async def status(request: web.Request) -> web.Response:
        return reply(
            messages.Fleet(
                daemon=shared.settings.daemon,
                revision=shared.active_configuration.revision,
                store_calls=platform.total_calls,
                domains=await config_slice.propagator.query_domains(),
                members=shared.roster.members,
            )
        )

    operators = shared.settings.operators
    guard = configuration_api.make_auth_middleware(operators, _OPEN_PATHS)
    app = web.Application(
        middlewares=[guard],
        client_max_size=configuration_api.MAX_RESOURCE_BYTES,
    )
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", told.handle)
    app.router.add_get("/v1/status", status)
    config_slice.add_routes(app)
    return app
