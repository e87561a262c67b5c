"""What the daemon tells operators of itself and the fleet."""

import dataclasses

from burdockdeal.configuration import messages as configuration
from burdockdeal.membership import messages as membership


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The fleet as one daemon sees it."""

    daemon: str
    revision: int
    store_calls: int
    domains: tuple[configuration.Applied, ...]
    members: tuple[membership.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """Whether the daemon can serve.

    :param missing: what it still waits for.
    """

    ready: bool
    missing: tuple[str, ...]
