"""Reading of the log files of a fleet's processes."""

import pathlib

_TAIL_CHARS = 2000


def read_tails(folder: pathlib.Path) -> str:
    """Join the last 2000 characters of each log in a folder, with its name."""
    return "\n".join(
        f"--- {path.stem}\n{path.read_text()[-_TAIL_CHARS:]}"
        for path in sorted(folder.glob("*.log"))
    )
