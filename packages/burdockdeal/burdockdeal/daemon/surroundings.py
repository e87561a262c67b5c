"""What differs between deployments of the same daemon."""

from collections import abc
import dataclasses

import aiohttp
from aiohttp import web
import mode

from burdockdeal.daemon import metrics
from burdockdeal.daemon import parts
from burdockdeal.measurement import load_refresher
from burdockdeal.overload import connections
from burdockdeal.platform import store
from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class Hosted:
    """An application and where it listens."""

    app: web.Application
    address: model.Address
    bound: connections.ConnectionLimiter


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
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
    on_newer: abc.Callable[[model.Address], None]
    host: abc.Callable[[metrics.Metrics], tuple[Hosted, ...]]
    ask_load: load_refresher.QueryLoad


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """The functions by which one kind of deployment differs.

    :param speak: makes the headers of callers and of the upstream.
    :param build_control: builds what brings configuration and heartbeats.
    """

    speak: abc.Callable[[model.Settings], header_codec.HeaderCodec]
    build_control: abc.Callable[
        [parts.Parts, store.StoreClient, aiohttp.ClientSession], Control
    ]
