"""What daemons tell each other about evacuations."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The failure domains to which no request may be sent.

    :param domains: their names, sorted.
    :param revision: the store's revision at which they were read, 0 before
        the first read.
    """

    domains: tuple[str, ...] = ()
    revision: int = 0


#: What a daemon knows before it has learned of any read.
NONE_KNOWN = EvacuatedDomains()
