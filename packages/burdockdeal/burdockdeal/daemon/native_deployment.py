"""The surroundings of a deployment of burdockdeal's own.

Operators declare resources through the daemons, and upstreams announce
themselves by burdockdeal's own interface.
"""

import secrets

import aiohttp

from burdockdeal.announce import api as announce_api
from burdockdeal.configuration import assembly as configuration
from burdockdeal.daemon import components
from burdockdeal.daemon import deployment_adapter
from burdockdeal.daemon import metrics
from burdockdeal.daemon import operator_api
from burdockdeal.platform import store
from burdockdeal.serving import header_codec


async def _ask_nothing() -> None:
    """Upstreams of this interface tell their load in heartbeats only."""


def _build_control(
    shared: components.Components,
    platform: store.StoreClient,
    control: aiohttp.ClientSession,
) -> deployment_adapter.ControlPlane:
    means = configuration.Dependencies(
        settings=shared.settings,
        platform=platform,
        session=control,
        rng=shared.rng,
        roster=shared.roster,
        is_relay=shared.is_relay,
        new_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        wall_ms=components.read_wall_clock_ms,
    )
    configured = configuration.build(means, shared.active_configuration)
    listen, bounds = shared.settings.listen, shared.listener_limiters

    def host(
        told: metrics.Metrics,
    ) -> tuple[deployment_adapter.HostedApplication, ...]:
        app = operator_api.build_app(shared, platform, configured, told)
        upstream = announce_api.build_app(
            shared.upstream_tracker, lambda: shared.admission.running
        )
        return (
            deployment_adapter.HostedApplication(
                app, listen.operator, bounds.operator
            ),
            deployment_adapter.HostedApplication(
                upstream, listen.upstream, bounds.upstream
            ),
        )

    return deployment_adapter.ControlPlane(
        services=configured.services,
        peer_handlers=configured.peer_handlers,
        gauges=configured.build_gauges(),
        on_newer_configuration=configured.peer_sync.pull_from,
        build_applications=host,
        query_upstream_load=_ask_nothing,
    )


ADAPTER = deployment_adapter.DeploymentAdapter(
    build_header_codec=lambda settings: header_codec.DEFAULT,
    build_control_plane=_build_control,
)
