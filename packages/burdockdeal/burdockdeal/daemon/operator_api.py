"""The operator interface of a daemon."""

from aiohttp import web

from burdockdeal.configuration import api as configuration_api
from burdockdeal.configuration import assembly as configuration_assembly
from burdockdeal.core import codec
from burdockdeal.daemon import components
from burdockdeal.daemon import messages
from burdockdeal.daemon import metrics
from burdockdeal.platform import store

_PUBLIC_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


def build_app(
    shared: components.Components,
    platform: store.StoreClient,
    configuration_slice: configuration_assembly.Components,
    daemon_metrics: metrics.Metrics,
) -> web.Application:
    """Build the application for health, metrics, status and resources."""

    def build_response(message: object, status: int = 200) -> web.Response:
        return web.Response(
            body=codec.encode(message),
            status=status,
            content_type="application/json",
        )

    async def handle_health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def handle_readiness(request: web.Request) -> web.Response:
        missing = shared.list_missing()
        status = 503 if missing else 200
        return build_response(messages.Ready(not missing, missing), status)

    async def handle_status(request: web.Request) -> web.Response:
        return build_response(
            messages.Fleet(
                daemon=shared.settings.daemon,
                revision=shared.active_configuration.revision,
                store_calls=platform.total_calls,
                domains=await configuration_slice.propagator.query_domains(),
                members=shared.roster.members,
            )
        )

    operators = shared.settings.operators
    auth_middleware = configuration_api.make_auth_middleware(
        operators, _PUBLIC_PATHS
    )
    app = web.Application(
        middlewares=[auth_middleware],
        client_max_size=configuration_api.MAX_RESOURCE_BYTES,
    )
    app.router.add_get("/healthz", handle_health)
    app.router.add_get("/readyz", handle_readiness)
    app.router.add_get("/metrics", daemon_metrics.handle)
    app.router.add_get("/v1/status", handle_status)
    configuration_slice.add_routes(app)
    return app
