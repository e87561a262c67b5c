"""What daemons tell each other about evacuations."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The failure domains to which no request may be sent.

    :param domains: their names, sorted.
    :param revision: the store's revision at which they were read, 0 before
        the first read.
    :param era: how often the store had been restored by then; its revisions
        go back at each restore.
    """

    domains: tuple[str, ...] = ()
    revision: int = 0
    era: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """The order of the sets: that with the greater version applies."""
        return (self.era, self.revision)


#: What a daemon knows before it has learned of any read.
NONE_KNOWN = EvacuatedDomains()
