"""Decisions that keep a booking from running twice."""

from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import verdict

#: Seconds past its deadline for which a send is remembered.
KEEP_S = 60.0

#: By how much two monotonic clocks may differ in rate.
DRIFT = 0.0005


def decide_start(
    known: state.SendState | None,
    *,
    same_incarnation: bool,
    deadline: float,
    now: float,
) -> verdict.Reason | None:
    """Decide whether a send of a call that must not run twice may start.

    :param known: what the owner knows of this send.
    :param same_incarnation: whether it was addressed to this process.
    :param deadline: on this process's clock, in seconds.
    :returns: why not, None if it may.
    """
    if not same_incarnation:
        return verdict.Reason.STALE_INSTANCE
    if known is not None:
        return verdict.Reason.FENCED
    if now >= deadline:
        return verdict.Reason.DEADLINE_PASSED
    return None


def decide_fate(
    known: state.SendState | None,
    *,
    same_incarnation: bool,
    deadline: float,
    now: float,
) -> messages.Fate:
    """Tell what became of a send; NOT_RUN obliges the owner to fence it.

    :param deadline: the send's, on this process's clock, in seconds.
    """
    if not same_incarnation:
        return messages.Fate.UNKNOWN
    if known is state.SendState.STARTED:
        return messages.Fate.STARTED
    if known is state.SendState.FENCED or now < deadline + KEEP_S:
        return messages.Fate.NOT_RUN
    # It may have started and been forgotten since.
    return messages.Fate.UNKNOWN


_KEY_STEPS: dict[state.KeyState | None, state.KeyAction] = {
    None: state.KeyAction.RUN,
    state.KeyState.IDLE: state.KeyAction.RUN,
    state.KeyState.RUNNING: state.KeyAction.JOIN,
    state.KeyState.KEPT: state.KeyAction.REPLAY,
    state.KeyState.GONE: state.KeyAction.TELL_GONE,
    state.KeyState.UNSURE: state.KeyAction.TELL_UNSURE,
}


def decide_key(
    stage: state.KeyState | None, *, same_request: bool
) -> state.KeyAction:
    """Decide what is done with a request that carries a key.

    :param stage: what is known of the key here, None for nothing.
    :param same_request: whether the request is the one that first came
        with the key.
    """
    if stage is not None and not same_request:
        return state.KeyAction.REFUSE_CONFLICT
    return _KEY_STEPS[stage]


def decide_claim(
    standing: messages.Claim | None,
    *,
    own: messages.Holder,
    claim_id: str,
) -> state.ClaimAction:
    """Decide what a claim that stands in the store means.

    :param own: this daemon.
    :param claim_id: what this daemon has tried to write since it last
        began to remember the key; nothing ran since then.
    """
    if standing is None:
        return state.ClaimAction.REFUSE
    if standing.claim_id == claim_id:
        return state.ClaimAction.RUN
    if standing.holder == own:
        # Claimed by this very process, which has forgotten what came of it.
        return state.ClaimAction.TELL_UNSURE
    return state.ClaimAction.SEND_TO_HOLDER


def is_expired(issued_at: float, retention_s: float, now: float) -> bool:
    """Tell whether an issued key is too old to start a run.

    :param issued_at: on this process's clock, in seconds, at the most.
    """
    return now - issued_at >= retention_s


def better_offset(
    known: float | None, known_age_s: float, heard: float
) -> float:
    """Choose between two offsets of another daemon's clock.

    Both are lower bounds, since an answer takes time to arrive: the
    greater is the better. An old one loses what two clocks may drift.
    """
    if known is None:
        return heard
    return max(known - DRIFT * known_age_s, heard)
