"""Assembly of load probing: the sender and the receiver of probes."""

from collections import abc
import dataclasses
import random

import aiohttp

from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.core import gauge
from burdockdeal.core import load_report
from burdockdeal.measurement import prober
from burdockdeal.measurement import receiver
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

    def make_gauges(self) -> tuple[gauge.Gauge, ...]:
        """Make the gauges of the cost of probing."""
        return (
            gauge.Gauge(
                "burdockdeal_probes_total",
                "Probes sent since the start.",
                lambda: self.prober.sent,
            ),
            gauge.Gauge(
                "burdockdeal_probe_bytes_total",
                "Bytes of those probes and their answers, at most.",
                lambda: self.prober.bytes,
            ),
            gauge.Gauge(
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
    load: abc.Callable[[], load_report.LoadReport],
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
