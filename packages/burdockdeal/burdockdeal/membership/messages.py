"""What daemons tell each other about the fleet."""

import dataclasses
import enum

from burdockdeal.announce import state as announce_state
from burdockdeal.settings import model


class Health(enum.StrEnum):
    """What is believed of a daemon."""

    ALIVE = "ALIVE"
    SUSPECT = "SUSPECT"
    DEAD = "DEAD"
    LEFT = "LEFT"


#: The healths of daemons that are not expected to answer.
INACTIVE_HEALTHS = frozenset({Health.DEAD, Health.LEFT})


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon and the upstream beside it.

    :param incarnation: of the daemon; grows with every start.
    :param serial: grows with every change that the daemon itself makes.
    :param upstream_incarnation: of the upstream, 0 if there is none.
    """

    daemon: str
    failure_domain: str
    region: str
    peer: model.Address
    incarnation: int
    serial: int = 0
    health: Health = Health.ALIVE
    service: str = ""
    phase: announce_state.Phase = announce_state.Phase.ABSENT
    upstream_incarnation: int = 0
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What is believed of the health of a daemon's record.

    A third of a member's bytes, since most of what is passed on in bad
    times is health.
    """

    daemon: str
    incarnation: int
    serial: int
    health: Health


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """A probe, or its answer, with news passed on beside it.

    :param sender: the sender's own record.
    :param revision: the configuration's revision that it applies.
    :param members: records that are news.
    :param claims: healths that are news.
    """

    sender: Member
    revision: int
    members: tuple[Member, ...] = ()
    claims: tuple[Claim, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a daemon to probe another in the sender's place."""

    daemon: str


@dataclasses.dataclass(frozen=True, slots=True)
class PingResult:
    """Whether the probed daemon answered."""

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """Asks for the records in which two rosters differ.

    :param first: the first bucket that is wanted.
    :param sums: the asker's sum of each bucket, empty for a newcomer;
        buckets with the same sum are left out.
    """

    first: int = 0
    sums: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A part of a roster.

    :param following: the bucket to ask for next, None at the end.
    """

    members: tuple[Member, ...]
    following: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """An entry of the list of contacts in the store."""

    daemon: str
    peer: model.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """The contacts of one failure domain, as kept in the store."""

    contacts: tuple[Contact, ...]
