"""Exit codes of burdockctl."""

import enum


class ExitCode(enum.IntEnum):
    """The exit code of a command; scripts rely on the values."""

    OK = 0
    NOT_IN_FORCE = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    UNAUTHENTICATED = 7


#: The exit code for each HTTP status of the operator interface.
BY_HTTP_STATUS: dict[int, ExitCode] = {
    200: ExitCode.OK,
    400: ExitCode.REFUSED,
    401: ExitCode.UNAUTHENTICATED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.REFUSED,
    422: ExitCode.REFUSED,
    428: ExitCode.CONFLICT,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNREACHABLE,
}
