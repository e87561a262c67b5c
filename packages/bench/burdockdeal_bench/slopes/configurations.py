"""Scaling of the configuration: memory, loading, changes and matching."""

from absl import logging
import msgspec

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.core import codec
from burdockdeal.serving import classification
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import scaling

#: The largest is the size that the design targets: 2,300 services with
#: two rules each, and the ranks.
_SIZES = (875, 1_750, 3_500, 7_000)
_RESOURCES_PER_SERVICE = 3


def _make_spec(number: int) -> tuple[str, str, resources.Spec]:
    """Return resource number N of a sequence: a service, then its two rules.

    :param number: from 1.
    :returns: kind, name and specification.
    """
    service_number, index = divmod(number - 1, _RESOURCES_PER_SERVICE)
    name = f"service-{service_number}"
    if index == 0:
        return "Service", name, resources.Service()
    rule = resources.Rule(
        service=name,
        rank="status",
        match=resources.Match(f"/{name}/{index}/", ("GET",)),
        idempotent=True,
    )
    return "Rule", f"{name}-{index}", rule


def _make_change(revision: int, number: int) -> messages.Change:
    kind, name, spec = _make_spec(number)
    return messages.Change(
        revision=revision,
        change_id=f"{revision:016x}",
        operator="operator-of-the-day",
        at_ms=1_700_000_000_000 + revision,
        action=messages.Action.PUT,
        kind=kind,
        name=name,
        previous_generation=0,
        spec=msgspec.Raw(codec.encode(spec)),
    )


def make_changes(count: int) -> list[messages.Change]:
    """Return the changes that declare this many resources.

    Lowers the log level to errors, so that logging is not measured.
    """
    logging.set_verbosity(logging.ERROR)
    return [_make_change(number, number) for number in range(1, count + 1)]


def _apply_all(
    changes: list[messages.Change],
) -> active_configuration.ActiveConfiguration:
    applied = active_configuration.ActiveConfiguration()
    applied.apply(changes)
    return applied


def _measure_memory(count: int) -> float:
    return meter.measure_bytes(lambda: _apply_all(make_changes(count)))


def _measure_loading(count: int) -> float:
    changes = make_changes(count)
    return meter.measure_us(lambda: _apply_all(changes), repeats=1)


def _measure_change(count: int) -> float:
    """Measure one change, with the compilation of the rules that follows.

    :returns: microseconds of processor time per change.
    """
    applied = _apply_all(make_changes(count))
    applied.on_change(
        lambda: classification.compile_configuration(applied.configuration)
    )

    def apply_change() -> None:
        revision = applied.revision + 1
        applied.apply([_make_change(revision, revision % count + 1)])

    return meter.measure_us(apply_change, iterations=5)


def _measure_match(count: int) -> float:
    """Measure the match of a path that no rule matches, the worst case.

    :returns: microseconds of processor time per request.
    """
    applied = _apply_all(make_changes(count))
    match = classification.compile_configuration(applied.configuration).match
    path = "/service-none/9/x/y"
    return meter.measure_us(lambda: match("GET", path, ""), iterations=100)


BENCHMARKS = (
    scaling.Benchmark(
        "configuration-memory", "bytes", "resource", _SIZES, _measure_memory
    ),
    scaling.Benchmark(
        "configuration-loading", "us", "resource", _SIZES, _measure_loading
    ),
    scaling.Benchmark(
        "configuration-change", "us", "resource", _SIZES, _measure_change
    ),
    scaling.Benchmark("rule-match", "us", "resource", _SIZES, _measure_match),
)
