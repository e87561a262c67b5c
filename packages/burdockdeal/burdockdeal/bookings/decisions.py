"""Decisions that keep a call that is not idempotent from running twice."""

import dataclasses

from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import verdict

#: Seconds after its deadline for which a send is remembered.
SEND_RETENTION_S = 60.0

#: Maximum relative difference in rate between two monotonic clocks.
MAX_CLOCK_DRIFT = 0.0005


def decide_start(
    recorded: state.SendState | None,
    *,
    same_incarnation: bool,
    deadline: float,
    now: float,
) -> verdict.Reason | None:
    """Decide whether a send of a call that is not idempotent may start.

    :param recorded: what the owner daemon recorded of this send.
    :param same_incarnation: whether it was addressed to this process.
    :param deadline: deadline on this process's clock, in seconds.
    :param now: monotonic time in seconds.
    :returns: why it must not start, None if it may.
    """
    if not same_incarnation:
        return verdict.Reason.STALE_INSTANCE
    if recorded is not None:
        return verdict.Reason.FENCED
    if now >= deadline:
        return verdict.Reason.DEADLINE_PASSED
    return None


def decide_fate(
    recorded: state.SendState | None,
    *,
    same_incarnation: bool,
    deadline: float,
    now: float,
) -> messages.Fate:
    """Decide what to report as the outcome of a send.

    An owner daemon that reports NOT_RUN must fence the send.

    :param recorded: what the owner daemon recorded of this send.
    :param same_incarnation: whether it was addressed to this process.
    :param deadline: deadline of the send on this process's clock, in
        seconds.
    :param now: monotonic time in seconds.
    """
    if not same_incarnation:
        return messages.Fate.UNKNOWN
    if recorded is state.SendState.STARTED:
        return messages.Fate.STARTED
    if recorded is state.SendState.FENCED or now < deadline + SEND_RETENTION_S:
        return messages.Fate.NOT_RUN
    # It may have started, and its record may have expired since.
    return messages.Fate.UNKNOWN


_KEY_ACTIONS: dict[state.KeyState | None, state.KeyAction] = {
    None: state.KeyAction.RUN,
    state.KeyState.IDLE: state.KeyAction.RUN,
    state.KeyState.RUNNING: state.KeyAction.JOIN,
    state.KeyState.STORED: state.KeyAction.REPLAY,
    state.KeyState.NOT_STORED: state.KeyAction.REPORT_RAN,
    state.KeyState.UNKNOWN: state.KeyAction.REPORT_UNKNOWN,
}


def decide_key_action(
    key_state: state.KeyState | None, *, same_request: bool
) -> state.KeyAction:
    """Decide how to handle a request that carries an idempotency key.

    :param key_state: state of the key in this daemon, None if the daemon
        has no record of the key.
    :param same_request: whether the request equals the one that the key was
        first used for.
    """
    if key_state is not None and not same_request:
        return state.KeyAction.REJECT_CONFLICT
    return _KEY_ACTIONS[key_state]


def decide_claim_action(
    current: messages.Claim | None,
    *,
    own: messages.Holder,
    claim_id: str,
) -> state.ClaimAction:
    """Decide how to go on after an attempt to claim an idempotency key.

    :param current: the claim in the store, None if it is not known.
    :param own: this daemon.
    :param claim_id: id of the claims that this daemon has tried to write
        since it created its record of the key; nothing ran since then.
    """
    if current is None:
        return state.ClaimAction.REJECT
    if current.claim_id == claim_id:
        return state.ClaimAction.RUN
    if current.holder == own:
        # This process claimed the key, but its record of the run expired.
        return state.ClaimAction.REPORT_UNKNOWN
    return state.ClaimAction.REDIRECT


def enter_era(
    window: state.ClaimWindow, *, era: int, now: float, retention_s: float
) -> state.ClaimWindow:
    """Close claims when the store was seen in a new era.

    A store that is restored from an old copy loses claims. Their holders
    answer resends without the store, and another daemon that claimed such a
    key would run it again. Each lost claim is older than the restore, so
    that it is no longer needed after the retention time.

    :param era: the store's newest era that is known.
    :param now: monotonic time in seconds.
    :param retention_s: seconds for which a key must stay claimed.
    """
    if era == window.era:
        return window
    return state.ClaimWindow(era, now + retention_s)


def accept_open_era(
    window: state.ClaimWindow, open_era: int | None, now: float
) -> state.ClaimWindow:
    """Open claims early if another daemon has waited in this era.

    :param open_era: the era that the store says is open, None for none. It
        was written in that era, and a restored copy holds an earlier one.
    :param now: monotonic time in seconds.
    """
    if open_era != window.era:
        return window
    return dataclasses.replace(window, opens_at=min(window.opens_at, now))


def may_claim(window: state.ClaimWindow, *, era: int, now: float) -> bool:
    """Return whether the claims in the store are complete.

    :param era: the store's newest era that is known.
    :param now: monotonic time in seconds.
    """
    return era == window.era and now >= window.opens_at


def is_issued_key_expired(
    issued_at: float, retention_s: float, now: float
) -> bool:
    """Return whether an issued key is too old to start a run.

    :param issued_at: lower bound of the time of issue on this process's
        clock, in seconds.
    :param retention_s: seconds for which an issued key can be used.
    :param now: monotonic time in seconds.
    """
    return now - issued_at >= retention_s


def choose_offset(
    known: float | None, known_age_s: float, observed: float
) -> float:
    """Choose the better of two offsets of another daemon's clock.

    Both are lower bounds, because a response takes time to arrive, so the
    greater is the better. The older one is first reduced by the amount that
    the two clocks may have drifted apart.

    :param known: the offset known so far, in seconds.
    :param known_age_s: age of that offset in seconds.
    :param observed: the new offset, in seconds.
    """
    if known is None:
        return observed
    return max(known - MAX_CLOCK_DRIFT * known_age_s, observed)
