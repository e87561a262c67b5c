"""The table that sets policies beside each other."""

from burdockdeal_bench import report
from burdockdeal_bench import scenario as scenarios

_HEAD = (
    "policy",
    "urgent p50 ms",
    "urgent p99 ms",
    "answered",
    "answered (idempotent)",
    "tries",
    "probes/answer",
)


def _show(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _share(ranks: list[report.RankReport]) -> float | None:
    sent = sum(rank.sent for rank in ranks)
    answered = sum(rank.answered for rank in ranks)
    return answered / sent if sent else None


def _line(
    experiment: scenarios.Experiment, told: report.Report
) -> tuple[str, ...]:
    deployment = experiment.deployment
    harmless = {w.rank for w in deployment.works if w.harmless} - {
        w.rank for w in deployment.works if not w.harmless
    }
    urgent = next(
        rank for rank in told.ranks if rank.rank == deployment.most_urgent
    )
    safe = [rank for rank in told.ranks if rank.rank in harmless]
    return (
        told.policy,
        _show(urgent.loaded.p50_ms, 1),
        _show(urgent.loaded.p99_ms, 1),
        _show(_share(list(told.ranks)), 4),
        _show(_share(safe), 4),
        _show(told.tries_per_first_try, 3),
        _show(told.measuring.probes_per_answer, 3),
    )


def format_table(
    experiment: scenarios.Experiment, reports: tuple[report.Report, ...]
) -> str:
    """Set the reports on one scenario beside each other."""
    lines = [_HEAD, *(_line(experiment, told) for told in reports)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
