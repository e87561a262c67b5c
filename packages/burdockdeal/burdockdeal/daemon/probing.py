"""Assembly of the two sides of measuring."""

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
class Measuring:
    """The side that probes and the side that is probed."""

    prober: prober.Prober
    receiver: receiver.Receiver

    def make_gauges(self) -> tuple[metrics.Gauge, ...]:
        """Make the gauges of what measuring costs."""
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


def build_measuring(
    settings: model.Settings,
    session: aiohttp.ClientSession,
    standing: configuration.ActiveConfiguration,
    tracker: tracking.InstanceTracker,
    chance: random.Random,
    *,
    load: abc.Callable[[], routing.LoadReport],
    incarnation: abc.Callable[[], int],
) -> Measuring:
    """Build both sides.

    :param load: returns the load beside this daemon.
    :param incarnation: returns its upstream's incarnation.
    """
    return Measuring(
        prober.Prober(
            settings,
            tracker,
            session,
            chance,
            lambda: standing.configuration,
        ),
        receiver.Receiver(
            settings.peer_token,
            load=load,
            incarnation=incarnation,
            get_configuration=lambda: standing.configuration,
            clock=tracker.clock,
        ),
    )
