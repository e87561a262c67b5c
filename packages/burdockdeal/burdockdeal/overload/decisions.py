"""Decisions on what an entry takes on, and on who is too slow."""

from collections import abc
import dataclasses
import math

from burdockdeal.overload import state

#: The time in which the counts of a window fade to 1/e, in seconds.
FADE_S = 1.0

#: Calls sent on for each that finds room, while some find none: more than
#: 1, so that room which comes free is found; and while all do.
PROBING = 1.25
PROBING_FREELY = 3.0

#: The share of refusals from which on a flood is taken to go on.
FEW_REFUSED = 0.1

#: Recent arrivals below which nothing is held back.
FEW_ARRIVALS = 20.0

#: How late the loop may run its ticks, in seconds.
LAG_TARGET_S = 0.02

#: Requests in progress that are allowed however late the loop is.
LEAST_ALLOWED = 16.0

_RISE = 1.05
_FALL = 0.9

#: The part of the requests beyond all floors that the least worthy rank
#: leaves free.
_LEFT_BY_LEAST = 0.5


def fade(window: state.Window, now: float) -> state.Window:
    """Bring a window up to date."""
    left = math.exp(-max(0.0, now - window.at) / FADE_S)
    return state.Window(
        arrived=window.arrived * left,
        sent=window.sent * left,
        refused=window.refused * left,
        at=now,
    )


def note_arrival(
    window: state.Window, now: float, *, sent: bool
) -> state.Window:
    """Take in that a call came in.

    :param sent: whether it is sent on.
    """
    faded = fade(window, now)
    return dataclasses.replace(
        faded, arrived=faded.arrived + 1, sent=faded.sent + sent
    )


def note_refusal(window: state.Window, now: float) -> state.Window:
    """Take in that a call that was sent on found no room."""
    faded = fade(window, now)
    return dataclasses.replace(faded, refused=faded.refused + 1)


def find_refused_share(window: state.Window, now: float) -> float:
    """Find the share of calls to refuse before they are sent on.

    What is sent on follows what finds room, so that a flood of one rank
    costs the owners little more than the work that they do for it.
    """
    faded = fade(window, now)
    if faded.arrived < FEW_ARRIVALS:
        return 0.0
    many = faded.refused > FEW_REFUSED * faded.sent
    probing = PROBING if many else PROBING_FREELY
    room = probing * max(0.0, faded.sent - faded.refused)
    return min(1.0, max(0.0, 1 - (room + 1) / faded.arrived))


def note_tick(
    strain: state.AdaptiveLimit, lag_s: float, *, in_progress: int, limit: int
) -> state.AdaptiveLimit:
    """Take in how late a tick of the loop ran.

    What is allowed falls from what is in progress, and rises while it is
    in use. It never falls so low that a loop which is kept busy by calls
    that it refuses would stop serving.

    :param in_progress: requests that are not yet answered.
    :param limit: the bound that is set for them.
    """
    allowed = strain.allowed
    if lag_s > LAG_TARGET_S:
        allowed = min(allowed, max(LEAST_ALLOWED, in_progress * _FALL))
    else:
        allowed *= _RISE
    return state.AdaptiveLimit(min(float(limit), allowed), lag_s)


def has_room(
    rank: str, shares: abc.Mapping[str, state.Share], limit: float
) -> bool:
    """Tell whether an entry may take on one more request of a rank.

    Each rank has its floor of the bound to itself. Of what is left over,
    the least worthy rank leaves a half free, the worthiest nothing.

    :param limit: the bound on requests in progress.
    """
    kept = {
        name: int(share.floor * limit) - share.in_progress
        for name, share in shares.items()
    }
    if kept[rank] > 0:
        return True
    in_progress = sum(share.in_progress for share in shares.values())
    free = limit - in_progress - sum(filter(_is_positive, kept.values()))
    lent = limit - sum(int(share.floor * limit) for share in shares.values())
    worth = shares[rank].worth
    worthier = sum(share.worth > worth for share in shares.values())
    height = worthier / max(1, len(shares) - 1)
    return free > height * _LEFT_BY_LEAST * lent


def _is_positive(number: int) -> bool:
    return number > 0


def note_bytes(flow: state.Flow, size: int, waited_s: float) -> state.Flow:
    """Take in that a part of a body came.

    :param waited_s: how long the reader waited for it, in seconds.
    """
    return state.Flow(flow.size + size, flow.waited_s + waited_s)


def is_too_slow(
    flow: state.Flow, *, bytes_per_s: float, grace_s: float
) -> bool:
    """Tell whether a body comes slower than any honest sender's.

    Only the time that was spent waiting for the sender counts.
    """
    return flow.size < bytes_per_s * (flow.waited_s - grace_s)
