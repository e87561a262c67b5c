"""The functions by which kinds of deployment differ."""

from collections import abc
import dataclasses

import aiohttp
from aiohttp import web
import mode

from burdockdeal.core import gauge
from burdockdeal.daemon import components
from burdockdeal.daemon import metrics
from burdockdeal.measurement import load_refresher
from burdockdeal.membership import contacts
from burdockdeal.overload import connections
from burdockdeal.platform import store
from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class HostedApplication:
    """A web application and the address that it listens on.

    :param limiter: limits the connections of the listener.
    """

    app: web.Application
    address: model.Address
    limiter: connections.ConnectionLimiter


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """How a daemon gets its configuration and learns of its upstream.

    :param services: background services, in the order of their start.
    :param peer_handlers: handlers of the messages of other daemons, by
        path.
    :param gauges: additional gauges for the daemon's metrics.
    :param on_newer_configuration: called with the address of a peer whose
        configuration is newer.
    :param build_applications: builds the web applications to host, given
        the daemon's metrics.
    :param query_upstream_load: queries the upstream for its load.
    :param contact_source: where the store has the contacts.
    :param read_configuration: reads the configuration in the store; None if
        daemons other than those that read for the fleet never do.
    """

    services: tuple[mode.Service, ...]
    peer_handlers: abc.Mapping[str, http_server.Handler]
    gauges: tuple[gauge.Gauge, ...]
    on_newer_configuration: abc.Callable[[model.Address], None]
    build_applications: abc.Callable[
        [metrics.Metrics], tuple[HostedApplication, ...]
    ]
    query_upstream_load: load_refresher.QueryLoad
    contact_source: contacts.Source = contacts.DEFAULT_SOURCE
    read_configuration: abc.Callable[[], abc.Awaitable[None]] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentAdapter:
    """The functions by which one kind of deployment differs.

    :param build_header_codec: builds the codec for the headers of callers
        and of the upstream.
    :param build_control_plane: builds what receives the configuration and
        the upstream's heartbeats.
    """

    build_header_codec: abc.Callable[
        [model.Settings], header_codec.HeaderCodec
    ]
    build_control_plane: abc.Callable[
        [components.Components, store.StoreClient, aiohttp.ClientSession],
        ControlPlane,
    ]
