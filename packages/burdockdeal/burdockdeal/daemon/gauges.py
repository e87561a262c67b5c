"""Gauges of the daemon's own state."""

from burdockdeal.admission import controller
from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.daemon import metrics
from burdockdeal.membership import roster


def make_gauges(
    slots: controller.AdmissionController,
    known: roster.Roster,
    standing: configuration.ActiveConfiguration,
) -> tuple[metrics.Gauge, ...]:
    """Make the gauges of the daemon's own state."""
    return (
        metrics.Gauge(
            "burdockdeal_in_flight",
            "Calls in flight to the upstream.",
            lambda: slots.running,
        ),
        metrics.Gauge(
            "burdockdeal_waiting",
            "Calls that wait at the gate.",
            lambda: slots.waiting,
        ),
        metrics.Gauge(
            "burdockdeal_members",
            "Daemons that are known and not believed gone.",
            lambda: known.active_count,
        ),
        metrics.Gauge(
            "burdockdeal_configuration_revision",
            "The revision of the configuration in force here.",
            lambda: standing.revision,
        ),
    )
