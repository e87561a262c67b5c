"""State of the model of two requests with the same key."""

import dataclasses
import enum

from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import verdict

KeyState = state.KeyState
Verdict = verdict.Verdict


class Phase(enum.Enum):
    """Progress of a request."""

    NEW = "NEW"
    ARRIVED = "ARRIVED"
    CLAIMING = "CLAIMING"
    STARTING = "STARTING"
    RUNNING = "RUNNING"
    JOINED = "JOINED"
    REFUSED = "REFUSED"
    ANSWERED = "ANSWERED"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    :param fingerprint: stands for the content of the request.
    :param owner: index of the owner daemon that handles it.
    :param pinned: whether it was sent to the key's holder.
    :param outcome: the verdict that the caller received.
    :param response: fingerprint of the request that the response belongs
        to, None if there is no response.
    :param run_count: number of runs of the key when the caller received the
        verdict.
    """

    fingerprint: int = 0
    phase: Phase = Phase.NEW
    owner: int = 0
    pinned: bool = False
    outcome: Verdict | None = None
    response: int | None = None
    run_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One owner daemon and its record of the key.

    :param key_state: state of the key, None without a record.
    :param fingerprint: fingerprint of the request that the key was first
        used for.
    :param record_count: number of records of the key created so far.
    :param late_write: a write to the store that may still take effect.
    """

    incarnation: int = 1
    key_state: KeyState | None = None
    fingerprint: int = 0
    record_count: int = 0
    late_write: messages.Claim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the whole system.

    :param claim: the claim in the store.
    :param runs: indexes of the requests that ran, in order.
    :param sequential: whether the second request came after the first had
        been answered.
    """

    requests: tuple[Request, Request] = (Request(), Request())
    owners: tuple[Owner, Owner] = (Owner(), Owner())
    claim: messages.Claim | None = None
    runs: tuple[int, ...] = ()
    sequential: bool = False
