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
class Exchange:
    """One side of an exchange between two daemons.

    :param revision: the configuration's revision that the sender applies.
    """

    sender: str
    revision: int
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """An entry of the list of contacts in the store."""

    daemon: str
    peer: model.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """The contacts of one failure domain, as kept in the store."""

    contacts: tuple[Contact, ...]
