"""The message with which a probe is answered."""

import dataclasses

from burdockdeal.core import load_report


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResponse:
    """The load of an upstream at the time of the probe.

    :param incarnation: of the upstream, 0 if there is none.
    """

    incarnation: int
    load: load_report.LoadReport
