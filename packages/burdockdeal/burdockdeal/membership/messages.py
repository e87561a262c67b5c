"""Messages between daemons about membership, and contacts in the store."""

import dataclasses
import enum

import msgspec

from burdockdeal.announce import state as announce_state
from burdockdeal.evacuation import messages as evacuation
from burdockdeal.settings import model


class Health(enum.StrEnum):
    """Health of a daemon as others believe it to be."""

    ALIVE = "ALIVE"
    SUSPECT = "SUSPECT"
    DEAD = "DEAD"
    LEFT = "LEFT"


#: Health values of daemons that are not expected to answer. A daemon with
#: any other health is called active.
INACTIVE_HEALTHS = frozenset({Health.DEAD, Health.LEFT})


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of a daemon and its local upstream.

    :param peer: address at which other daemons reach this one.
    :param incarnation: the daemon's incarnation; increases with every start.
    :param serial: increases with every change that the daemon itself makes
        to its record within an incarnation.
    :param service: service that the upstream provides, empty for none.
    :param phase: lifecycle phase of the upstream.
    :param upstream_incarnation: the upstream's incarnation, 0 if there is
        none.
    :param slots: maximum number of calls that the upstream runs at once.
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
    """Health claimed for one version of a daemon's record.

    A claim has a third of the bytes of a whole record. That matters during
    failures, when most updates are changes of health.
    """

    daemon: str
    incarnation: int
    serial: int
    health: Health


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """A probe or the response to one, with piggybacked updates.

    :param sender: the sender's own record.
    :param revision: configuration revision in force at the sender.
    :param members: records that changed recently.
    :param claims: claims about daemons whose health changed recently.
    :param evacuated: the evacuated failure domains that the sender knows.
    """

    sender: Member
    revision: int
    members: tuple[Member, ...] = ()
    claims: tuple[Claim, ...] = ()
    evacuated: evacuation.EvacuatedDomains = evacuation.NONE_KNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a daemon to probe another one on the sender's behalf."""

    daemon: str


@dataclasses.dataclass(frozen=True, slots=True)
class PingResult:
    """Result of a probe on behalf of another daemon."""

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """Asks for the records in which two rosters differ.

    :param first: index of the first bucket to return.
    :param sums: the requester's checksum of each bucket; buckets with the
        same checksum are omitted. Empty to get all of them.
    """

    first: int = 0
    sums: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A part of a roster.

    :param following: index of the bucket to request next, None at the end.
    """

    members: tuple[Member, ...]
    following: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """A daemon that newcomers can reach, as listed in the store."""

    daemon: str
    peer: model.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """The contacts of one failure domain; the value of a key in the store."""

    contacts: tuple[Contact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RawContacts:
    """The contacts of one failure domain, each still encoded."""

    contacts: tuple[msgspec.Raw, ...]
