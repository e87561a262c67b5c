"""Outputs of the processes of a fleet."""

import pathlib

_TAIL_CHARS = 2000


def read_tails(folder: pathlib.Path) -> str:
    """Read the ends of all outputs in a folder, each under its name."""
    return "\n".join(
        f"--- {path.stem}\n{path.read_text()[-_TAIL_CHARS:]}"
        for path in sorted(folder.glob("*.log"))
    )
