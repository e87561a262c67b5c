"""Gauges of calls, members, the configuration and the log of a daemon."""

from collections import abc

from burdockdeal.admission import controller
from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.core import event_log
from burdockdeal.core import gauge
from burdockdeal.membership import roster


def make_gauges(
    admission: controller.AdmissionController,
    members: roster.Roster,
    active_configuration: configuration.ActiveConfiguration,
    compute_cold_s: abc.Callable[[], float],
    is_evacuated: abc.Callable[[], bool],
) -> tuple[gauge.Gauge, ...]:
    """Make the gauges of calls, members, the configuration and the log.

    :param admission: admits calls to the upstream.
    :param members: all daemons that are known.
    :param compute_cold_s: computes the seconds for which the upstream is
        still cold.
    :param is_evacuated: returns whether this failure domain is evacuated.
    """
    return (
        gauge.Gauge(
            "burdockdeal_in_flight",
            "Calls in flight to the upstream.",
            lambda: admission.running,
        ),
        gauge.Gauge(
            "burdockdeal_waiting",
            "Calls that wait at the gate.",
            lambda: admission.waiting,
        ),
        gauge.Gauge(
            "burdockdeal_cold_seconds",
            "Seconds for which the upstream is still cold; -1 if unknown.",
            compute_cold_s,
        ),
        gauge.Gauge(
            "burdockdeal_evacuated",
            "1 while this failure domain is evacuated.",
            lambda: int(is_evacuated()),
        ),
        gauge.Gauge(
            "burdockdeal_members",
            "Daemons that are known and not believed gone.",
            lambda: members.active_count,
        ),
        gauge.Gauge(
            "burdockdeal_configuration_revision",
            "The revision of the configuration in force here.",
            lambda: active_configuration.revision,
        ),
        gauge.Gauge(
            "burdockdeal_log_lines_dropped_total",
            "Lines of the log that were not written.",
            event_log.count_dropped_lines,
        ),
    )
