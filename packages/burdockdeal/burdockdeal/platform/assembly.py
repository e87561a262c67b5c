"""Assembly of the parts of a daemon that runs on the users' platform."""

import aiohttp
from aiohttp import web

from burdockdeal.admission import saturation_profiles
from burdockdeal.configuration import confirmation
from burdockdeal.configuration import peers
from burdockdeal.configuration import resources
from burdockdeal.daemon import components
from burdockdeal.daemon import deployment_adapter
from burdockdeal.daemon import metrics
from burdockdeal.measurement import state as measurement
from burdockdeal.membership import contacts
from burdockdeal.membership import transport
from burdockdeal.platform import discovery
from burdockdeal.platform import evacuations
from burdockdeal.platform import headers
from burdockdeal.platform import heartbeats
from burdockdeal.platform import indirect_reads
from burdockdeal.platform import messages
from burdockdeal.platform import store
from burdockdeal.platform import watcher

_NO_SERVICE = resources.Service()

#: Prefix of the keys that a starting daemon reads in one call: the contacts,
#: what is known of the services, and the operator's configuration. Daemons may
#: not write below "op/".
_STARTUP_PREFIX = "op"
_CONTACT_PREFIX = "op-members/"
_PROFILES_KEY = "op-profiles"


def _build_readiness_app(shared: components.Components) -> web.Application:
    async def handle_readiness(request: web.Request) -> web.Response:
        return web.Response(status=200 if shared.is_ready() else 503)

    app = web.Application()
    app.router.add_get("/api/readiness", handle_readiness)
    return app


def _build_metrics_app(daemon_metrics: metrics.Metrics) -> web.Application:
    app = web.Application()
    app.router.add_get("/metrics", daemon_metrics.handle)
    return app


def _build_control_plane(
    shared: components.Components,
    platform: store.StoreClient,
    session: aiohttp.ClientSession,
) -> deployment_adapter.ControlPlane:
    settings = shared.settings
    deployment = settings.deployment
    receiver = heartbeats.HeartbeatReceiver(
        shared.upstream_tracker, deployment
    )

    def get_health_path() -> str:
        services = (
            shared.compiled_configuration.services
            if shared.compiled_configuration
            else {}
        )
        return services.get(deployment.service, _NO_SERVICE).health_path

    async def query_upstream_load() -> measurement.UpstreamLoad | None:
        path = get_health_path()
        if not path:
            return None
        health = await discovery.check_health(
            session, deployment.upstream, path
        )
        if health is None:
            return None
        if health.cold_ms is not None:
            receiver.record_cold(health.name, health.cold_ms)
        return health.load

    def is_store_reader(count: int) -> bool:
        return settings.daemon in shared.roster.choose_store_readers(count)

    upstream_discovery = discovery.UpstreamDiscovery(
        session, deployment.upstream, receiver, get_health_path
    )
    shared.active_configuration.on_change(upstream_discovery.check_path)
    puller = peers.PeerSync(settings, shared.active_configuration, session)

    evacuation_reader = evacuations.EvacuationReader(shared.evacuations)
    store_watcher = watcher.Watcher(
        platform.derive_unlimited_client(),
        shared.active_configuration,
        shared.rng,
        is_watcher=lambda: is_store_reader(deployment.watchers),
        is_poller=lambda: is_store_reader(1),
        ask_to_read=indirect_reads.make_requester(
            shared.roster,
            transport.make_post(session, settings.peer_token),
            shared.rng,
        ),
        poll_interval_s=deployment.read_s,
        confirmation=shared.confirmation,
        confirm_interval_s=confirmation.choose_interval_s(settings.keys),
        apply_operator_keys=evacuation_reader.apply_listing
        if deployment.has_evacuations
        else None,
    )

    profiles = saturation_profiles.SaturationProfiles(
        _PROFILES_KEY,
        platform.derive_unlimited_client(),
        shared.list_saturation_evidence,
        is_writer=lambda: is_store_reader(1),
        rng=shared.rng,
    )
    shared.is_saturating = profiles.is_saturating

    def apply_startup_listing(listing: messages.Listing) -> None:
        evacuation_reader.apply_listing(listing)
        store_watcher.apply_listing(listing)
        profiles.apply_listing(listing)

    def build_applications(
        daemon_metrics: metrics.Metrics,
    ) -> tuple[deployment_adapter.HostedApplication, ...]:
        bounds, listen = shared.listener_limiters, settings.listen
        return (
            deployment_adapter.HostedApplication(
                _build_readiness_app(shared), listen.operator, bounds.operator
            ),
            deployment_adapter.HostedApplication(
                heartbeats.build_app(receiver),
                listen.upstream,
                bounds.upstream,
            ),
            deployment_adapter.HostedApplication(
                _build_metrics_app(daemon_metrics),
                deployment.metrics,
                bounds.metrics,
            ),
        )

    return deployment_adapter.ControlPlane(
        services=(
            puller,
            store_watcher,
            profiles,
            upstream_discovery,
        ),
        peer_handlers={
            peers.CHANGES_PATH: puller.handle_changes,
            peers.SNAPSHOT_PATH: puller.handle_snapshot,
            indirect_reads.PATH: indirect_reads.make_handler(
                store_watcher.read
            ),
        },
        gauges=(),
        on_newer_configuration=puller.pull_from,
        build_applications=build_applications,
        query_upstream_load=query_upstream_load,
        contact_source=contacts.Source(
            key_prefix=_CONTACT_PREFIX,
            startup_prefix=_STARTUP_PREFIX,
            on_startup_listing=apply_startup_listing,
        ),
        read_configuration=store_watcher.poll,
    )


ADAPTER = deployment_adapter.DeploymentAdapter(
    build_header_codec=headers.make_dialect,
    build_control_plane=_build_control_plane,
)
