"""The command that measures slopes."""

import sys

import fire

from burdockdeal.core import codec
from burdockdeal_bench.slopes import bookings
from burdockdeal_bench.slopes import choices
from burdockdeal_bench.slopes import configurations
from burdockdeal_bench.slopes import fleets
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import slope

#: All slopes, in the order in which they are measured.
SLOPES: tuple[slope.Slope, ...] = (
    *members.SLOPES,
    *configurations.SLOPES,
    *choices.SLOPES,
    *bookings.SLOPES,
    *fleets.SLOPES,
)

EXIT_OK = 0
EXIT_INPUT = 2


def main(*, only: str = "") -> int:
    """Measure slopes and print each with its points.

    :param only: how the names of the wanted slopes begin, all if empty.
    """
    wanted = [item for item in SLOPES if item.name.startswith(only)]
    if not wanted:
        known = ", ".join(item.name for item in SLOPES)
        print(f"--only: no slope's name begins so; known: {known}")
        return EXIT_INPUT
    found = []
    for item in wanted:
        found.append(slope.measure(item))
        print(slope.format_fit(found[-1]), flush=True)
    print(codec.encode(found).decode())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: None))
