"""Assembly of load probing: the sender and the receiver of probes."""

from collections import abc
import dataclasses
import random

import aiohttp

from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.daemon import metrics
from burdockdeal.measurement import prober
from burdockdeal.measurement import receiver
from burdockdeal.routing import state as routing
from burdockdeal.routing import tracking
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """The sender and the receiver of load probes.

    :param prober: probes the daemons of other upstreams.
    :param receiver: responds to the probes of other daemons.
    """

    prober: prober.Prober
    receiver: receiver.Receiver

    def make_gauges(self) -> tuple[metrics.Gauge, ...]:
        """Make the gauges of the cost of probing."""
        return (
            metrics.Gauge(
                "burdockdeal_probes_total",
                "Probes sent since the start.",
                lambda: self.prober.sent,
            ),
            metrics.Gauge(
                "burdockdeal_probe_bytes_total",
                "Bytes of those probes and their answers, at most.",
                lambda: self.prober.bytes,
            ),
            metrics.Gauge(
                "burdockdeal_probes_refused_total",
                "Probes of others refused, beyond the upstream's budget.",
                lambda: self.receiver.refused,
            ),
        )


def build_probing(
    settings: model.Settings,
    session: aiohttp.ClientSession,
    active_configuration: configuration.ActiveConfiguration,
    tracker: tracking.InstanceTracker,
    rng: random.Random,
    *,
    load: abc.Callable[[], routing.LoadReport],
    incarnation: abc.Callable[[], int],
) -> Probing:
    """Build the sender and the receiver of probes.

    :param load: returns the load of the upstream beside this daemon.
    :param incarnation: returns the incarnation of that upstream.
    """
    return Probing(
        prober.Prober(
            settings,
            tracker,
            session,
            rng,
            lambda: active_configuration.configuration,
        ),
        receiver.Receiver(
            settings.peer_token,
            load=load,
            incarnation=incarnation,
            get_configuration=lambda: active_configuration.configuration,
            clock=tracker.clock,
        ),
    )
