"""Deployment adapter for burdockdeal's own interfaces.

Operators declare resources through the daemons, and upstreams announce
themselves through burdockdeal's announce interface.
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


async def _query_no_load() -> None:
    """Return no load: these upstreams report it in heartbeats only."""


def _build_control_plane(
    shared: components.Components,
    platform: store.StoreClient,
    peer_session: aiohttp.ClientSession,
) -> deployment_adapter.ControlPlane:
    dependencies = configuration.Dependencies(
        settings=shared.settings,
        platform=platform,
        session=peer_session,
        rng=shared.rng,
        roster=shared.roster,
        is_relay=shared.is_relay,
        new_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        wall_ms=components.read_wall_clock_ms,
    )
    configuration_slice = configuration.build(
        dependencies, shared.active_configuration
    )
    listen, limiters = shared.settings.listen, shared.listener_limiters

    def build_applications(
        daemon_metrics: metrics.Metrics,
    ) -> tuple[deployment_adapter.HostedApplication, ...]:
        operator_app = operator_api.build_app(
            shared, platform, configuration_slice, daemon_metrics
        )
        upstream_app = announce_api.build_app(
            shared.upstream_tracker, lambda: shared.admission.running
        )
        return (
            deployment_adapter.HostedApplication(
                operator_app, listen.operator, limiters.operator
            ),
            deployment_adapter.HostedApplication(
                upstream_app, listen.upstream, limiters.upstream
            ),
        )

    return deployment_adapter.ControlPlane(
        services=configuration_slice.services,
        peer_handlers=configuration_slice.peer_handlers,
        gauges=configuration_slice.build_gauges(),
        on_newer_configuration=configuration_slice.peer_sync.pull_from,
        build_applications=build_applications,
        query_upstream_load=_query_no_load,
    )


ADAPTER = deployment_adapter.DeploymentAdapter(
    build_header_codec=lambda settings: header_codec.DEFAULT,
    build_control_plane=_build_control_plane,
)
