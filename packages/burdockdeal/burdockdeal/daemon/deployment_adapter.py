"""What differs between deployments of the same daemon."""

from collections import abc
import dataclasses

import aiohttp
from aiohttp import web
import mode

from burdockdeal.daemon import components
from burdockdeal.daemon import metrics
from burdockdeal.measurement import load_refresher
from burdockdeal.overload import connections
from burdockdeal.platform import store
from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class HostedApplication:
    """An application and where it listens."""

    app: web.Application
    address: model.Address
    limiter: connections.ConnectionLimiter


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """How a daemon learns its configuration and its upstream.

    :param services: what is to run, in the order of the start.
    :param peer_handlers: answer the messages of other daemons, by path.
    :param gauges: what it tells in the metrics.
    :param on_newer: called with a peer whose configuration is newer.
    :param host: makes the applications, given the metrics.
    :param ask_load: asks the upstream for its load.
    """

    services: tuple[mode.Service, ...]
    peer_handlers: abc.Mapping[str, http_server.Handler]
    gauges: tuple[metrics.Gauge, ...]
    on_newer_configuration: abc.Callable[[model.Address], None]
    build_applications: abc.Callable[
        [metrics.Metrics], tuple[HostedApplication, ...]
    ]
    query_upstream_load: load_refresher.QueryLoad


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentAdapter:
    """The functions by which one kind of deployment differs.

    :param speak: makes the headers of callers and of the upstream.
    :param build_control: builds what brings configuration and heartbeats.
    """

    build_header_codec: abc.Callable[
        [model.Settings], header_codec.HeaderCodec
    ]
    build_control_plane: abc.Callable[
        [components.Components, store.StoreClient, aiohttp.ClientSession],
        ControlPlane,
    ]
