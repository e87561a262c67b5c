"""Decisions on sending a call again."""

from burdockdeal.core import call
from burdockdeal.core import verdict

#: Sends of one call by one entry, the first among them.
MAX_ATTEMPTS = 3


def may_resend(
    request: call.Call,
    outcome: verdict.Verdict,
    *,
    attempt: int,
    replayable: bool,
    now: float,
) -> bool:
    """Tell whether a call that ended without an answer is sent again.

    :param outcome: the verdict on the send that failed.
    :param attempt: how many sends there were, 1 or more.
    :param replayable: whether the body can be sent from its start.
    :param now: monotonic time in seconds.
    """
    harmless = outcome is verdict.Verdict.NOT_RUN or request.idempotent
    return (
        harmless
        and replayable
        and attempt < MAX_ATTEMPTS
        and now < request.deadline
    )
