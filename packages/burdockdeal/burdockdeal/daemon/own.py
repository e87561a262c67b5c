"""The surroundings of a deployment of burdockdeal's own.

Operators declare resources through the daemons, and upstreams announce
themselves by burdockdeal's own interface.
"""

import secrets

import aiohttp

from burdockdeal.announce import api as announce_api
from burdockdeal.configuration import assembly as configuration
from burdockdeal.daemon import metrics
from burdockdeal.daemon import operators
from burdockdeal.daemon import parts
from burdockdeal.daemon import surroundings
from burdockdeal.platform import store
from burdockdeal.serving import header_codec


async def _ask_nothing() -> None:
    """Upstreams of this interface tell their load in heartbeats only."""


def _build_control(
    shared: parts.Parts,
    platform: store.StoreClient,
    control: aiohttp.ClientSession,
) -> surroundings.Control:
    means = configuration.Dependencies(
        settings=shared.settings,
        platform=platform,
        session=control,
        rng=shared.chance,
        roster=shared.roster,
        is_relay=shared.is_relay,
        new_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        wall_ms=parts.wall_ms,
    )
    configured = configuration.build(means, shared.standing)
    listen, bounds = shared.settings.listen, shared.bounds

    def host(told: metrics.Metrics) -> tuple[surroundings.Hosted, ...]:
        app = operators.build_app(shared, platform, configured, told)
        upstream = announce_api.build_app(
            shared.side, lambda: shared.gate.running
        )
        return (
            surroundings.Hosted(app, listen.operator, bounds.operator),
            surroundings.Hosted(upstream, listen.upstream, bounds.upstream),
        )

    return surroundings.Control(
        services=configured.services,
        peer_handlers=configured.peer_handlers,
        gauges=configured.build_gauges(),
        on_newer=configured.peer_sync.pull_from,
        host=host,
        ask_load=_ask_nothing,
    )


SURROUNDINGS = surroundings.Surroundings(
    speak=lambda settings: header_codec.DEFAULT, build_control=_build_control
)
