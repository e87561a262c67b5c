"""The command that runs the scaling benchmarks."""

import sys

import fire

from burdockdeal.core import codec
from burdockdeal_bench.slopes import bookings
from burdockdeal_bench.slopes import choices
from burdockdeal_bench.slopes import configurations
from burdockdeal_bench.slopes import fleets
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import scaling

#: All scaling benchmarks, in the order in which they run.
BENCHMARKS: tuple[scaling.Benchmark, ...] = (
    *members.BENCHMARKS,
    *configurations.BENCHMARKS,
    *choices.BENCHMARKS,
    *bookings.BENCHMARKS,
    *fleets.BENCHMARKS,
)

EXIT_OK = 0
EXIT_USAGE = 2


def main(*, only: str = "") -> int:
    """Run scaling benchmarks and print the fitted line of each.

    After the text for readers, all results are printed as one JSON list.

    :param only: prefix of the names of the benchmarks to run; empty runs
        all.
    """
    selected = [
        benchmark
        for benchmark in BENCHMARKS
        if benchmark.name.startswith(only)
    ]
    if not selected:
        known = ", ".join(benchmark.name for benchmark in BENCHMARKS)
        print(f"--only: no name has the prefix {only!r}; known: {known}")
        return EXIT_USAGE
    fits = []
    for benchmark in selected:
        fits.append(scaling.measure(benchmark))
        print(scaling.format_fit(fits[-1]), flush=True)
    print(codec.encode(fits).decode())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: None))
