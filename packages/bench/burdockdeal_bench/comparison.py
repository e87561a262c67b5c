"""A table that compares the reports of several routing policies."""

from burdockdeal_bench import report
from burdockdeal_bench import scenario as scenarios

_COLUMNS = (
    "policy",
    "urgent p50 ms",
    "urgent p99 ms",
    "answered",
    "answered (idempotent)",
    "tries",
    "probes/answer",
)


def _format_number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _compute_answered_share(ranks: list[report.RankReport]) -> float | None:
    sent = sum(rank.sent for rank in ranks)
    answered = sum(rank.answered for rank in ranks)
    return answered / sent if sent else None


def _make_row(
    experiment: scenarios.Experiment, result: report.Report
) -> tuple[str, ...]:
    deployment = experiment.deployment
    retry_safe_ranks = {
        w.rank for w in deployment.works if w.is_retry_safe
    } - {w.rank for w in deployment.works if not w.is_retry_safe}
    most_urgent = next(
        rank
        for rank in result.ranks
        if rank.rank == deployment.most_urgent_rank
    )
    retry_safe = [
        rank for rank in result.ranks if rank.rank in retry_safe_ranks
    ]
    return (
        result.policy,
        _format_number(most_urgent.loaded.p50_ms, 1),
        _format_number(most_urgent.loaded.p99_ms, 1),
        _format_number(_compute_answered_share(list(result.ranks)), 4),
        _format_number(_compute_answered_share(retry_safe), 4),
        _format_number(result.tries_per_first_try, 3),
        _format_number(result.measuring.probes_per_answer, 3),
    )


def format_table(
    experiment: scenarios.Experiment, reports: tuple[report.Report, ...]
) -> str:
    """Format the reports of one experiment as a table, one row each.

    :param experiment: the experiment that all reports are of.
    """
    lines = [_COLUMNS, *(_make_row(experiment, result) for result in reports)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
