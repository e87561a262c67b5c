"""The target of a request: what is matched, and what is sent on.

Both are the bytes that the caller sent. A target that is decoded or
normalized for matching would let a rule apply to a request whose target it
does not match at the upstream.
"""

import dataclasses
import re

from burdockdeal.core import errors
from burdockdeal.core import verdict

#: A target in absolute form (RFC 9112, section 3.2.2).
_ABSOLUTE_FORM = re.compile(r"https?://([^/?#]+)(.*)", re.IGNORECASE)

#: What ends the path of a target. A fragment has no place in a target; it is
#: no part of the path, and sent on as it is.
_PATH_END = re.compile(r"[?#]")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The target of a request.

    :param origin_form: path and query as they are sent on.
    :param path: the path, by which a rule is chosen.
    :param authority: host and port of a target in absolute form, which take
        the place of the Host header; empty for any other target.
    """

    origin_form: str
    path: str
    authority: str = ""


def find_path(raw: str) -> str:
    """Return the path of a target, empty if it has none."""
    try:
        return parse_target(raw).path
    except errors.NotRunError:
        return ""


def parse_target(raw: str) -> Target:
    """Parse the target in a request line.

    :raises NotRunError: if it has neither origin form nor absolute form.
    """
    authority = ""
    if found := _ABSOLUTE_FORM.fullmatch(raw):
        authority, raw = found.groups()
        authority = authority.rpartition("@")[2]
        if not raw.startswith("/"):
            raw = f"/{raw}"
    if not raw.startswith("/"):
        raise errors.NotRunError(
            verdict.Reason.MALFORMED, "the target begins with no path"
        )
    return Target(raw, _PATH_END.split(raw, maxsplit=1)[0], authority)
