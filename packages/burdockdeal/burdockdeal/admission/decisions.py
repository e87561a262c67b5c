"""Decisions at the gate: run, wait or refuse."""

from collections import abc
import enum

from burdockdeal.admission import state


class Decision(enum.Enum):
    """What becomes of a call at the gate."""

    RUN = "RUN"
    WAIT = "WAIT"
    REFUSE_FULL = "REFUSE_FULL"
    REFUSE_LATE = "REFUSE_LATE"


def admit(
    ticket: state.Ticket,
    *,
    running: int,
    waiting: int,
    slots: int,
    queue_limit: int,
    now: float,
) -> Decision:
    """Decide on a call that arrives.

    :param running: calls in flight to the upstream.
    :param waiting: calls that wait.
    """
    if now >= ticket.deadline:
        return Decision.REFUSE_LATE
    if running < slots and not waiting:
        return Decision.RUN
    return Decision.WAIT if waiting < queue_limit else Decision.REFUSE_FULL


def pick(waiting: abc.Sequence[state.Ticket]) -> state.Ticket:
    """Choose the call that runs next: urgent first, then the earliest."""
    return min(
        waiting, key=lambda ticket: (ticket.terms.urgency, ticket.arrived)
    )
