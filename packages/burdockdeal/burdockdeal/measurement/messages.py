"""What a probe is answered with."""

import dataclasses

from burdockdeal.routing import state as routing


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An owner's load, as it is now.

    :param incarnation: of the upstream, 0 if there is none.
    """

    incarnation: int
    load: routing.LoadReport
