"""Responses of the operator interface on the daemon and the fleet."""

import dataclasses

from burdockdeal.configuration import messages as configuration
from burdockdeal.membership import messages as membership


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The state of the fleet as one daemon knows it.

    :param daemon: name of the daemon that responds.
    :param revision: revision of its active configuration.
    :param store_calls: calls that it has made to the store since its start.
    :param domains: what each failure domain has applied.
    :param members: all daemons, with the upstreams beside them.
    """

    daemon: str
    revision: int
    store_calls: int
    domains: tuple[configuration.Applied, ...]
    members: tuple[membership.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """Whether the daemon can serve.

    :param missing: names of what it still waits for.
    """

    ready: bool
    missing: tuple[str, ...]
