"""Exit codes of the command, for scripts."""

import enum


class Exit(enum.IntEnum):
    """How the command ended."""

    OK = 0
    NOT_IN_FORCE = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    UNAUTHENTICATED = 7


#: The exit code for each HTTP status of the resource interface.
OF_STATUS: dict[int, Exit] = {
    200: Exit.OK,
    400: Exit.REFUSED,
    401: Exit.UNAUTHENTICATED,
    404: Exit.NOT_FOUND,
    409: Exit.CONFLICT,
    413: Exit.REFUSED,
    422: Exit.REFUSED,
    428: Exit.CONFLICT,
    503: Exit.UNREACHABLE,
    504: Exit.UNREACHABLE,
}
