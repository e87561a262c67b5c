"""The state of retries: what one entry may still spend."""

import dataclasses

#: Sends that a service's rank may cause at an entry before any was earned.
START_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """What one service's rank has to spend on sending again.

    :param tokens: sends that are paid for.
    :param full_until: monotonic time until which the whole service is
        taken for full, in seconds.
    :param usual_s: the time within which 95 in 100 answers begin, in
        seconds, 0 before the first.
    """

    tokens: float = START_TOKENS
    full_until: float = 0.0
    usual_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What one entry has sent since its start.

    :param sends: all sends that reached a daemon or an upstream.
    :param first_sends: the first ones of calls that stand below no
        repeated call.
    :param hedges: sends beside one that was still open.
    :param denied: sends that would have been allowed but for the budget.
    """

    sends: int = 0
    first_sends: int = 0
    hedges: int = 0
    denied: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far one call has come at its entry.

    :param left: sends that may still reach an upstream from here.
    :param sends: how often it was sent.
    :param tried: the daemons that it was sent to.
    :param exposed: whether an earlier send may have run.
    :param reached: whether an earlier send reached an upstream.
    :param refused: whether an earlier send met a full instance.
    :param knocks: instances that could not start it when they were asked.
    :param patient: whether it now waits where it is sent.
    """

    left: int
    sends: int = 0
    tried: frozenset[str] = frozenset()
    exposed: bool = False
    reached: bool = False
    refused: bool = False
    knocks: int = 0
    patient: bool = False
