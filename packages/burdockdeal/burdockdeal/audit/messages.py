"""Messages of the audit trail."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change that an operator asked for.

    :param outcome: ACCEPTED, REFUSED or SUPERSEDED.
    """

    at_ms: int
    operator: str
    resource: str
    action: str
    from_generation: int
    to_generation: int
    outcome: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Trail:
    """The records that are kept, the oldest first."""

    records: tuple[Record, ...]
