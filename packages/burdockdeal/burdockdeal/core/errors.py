"""The exception tree."""

import dataclasses

from burdockdeal.core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with settings or a resource.

    :param field: the dotted path of the field, empty for the whole.
    :param message: what is wrong with it, one plain line.
    """

    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.field or '(whole)'}: {self.message}"


class BurdockdealError(Exception):
    """The root of every error that burdockdeal raises."""


class CheckError(BurdockdealError):
    """Something given from outside is wrong.

    :param subject: what was checked, such as a file's name.
    :param faults: every fault that was found.
    """

    def __init__(self, subject: str, faults: tuple[Fault, ...]) -> None:
        self.subject = subject
        self.faults = faults
        listing = "; ".join(str(fault) for fault in faults)
        super().__init__(f"{subject}: {listing}")


class SettingsError(CheckError):
    """A settings file is wrong."""


class ResourceError(CheckError):
    """A resource is wrong."""


class ConflictError(BurdockdealError):
    """Another change came first.

    :param generation: the generation that is current.
    """

    def __init__(self, message: str, generation: int) -> None:
        self.generation = generation
        super().__init__(message)


class PlatformError(BurdockdealError):
    """The platform's store did not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The store was not reached: the call had no effect."""


class StoreUncertainError(PlatformError):
    """The store's answer was lost: the call may have had its effect."""


class StoreConflictError(PlatformError):
    """A compare-and-swap found another version.

    :param version: the version that stands in the store, 0 for none.
    """

    def __init__(self, key: str, version: int) -> None:
        self.version = version
        super().__init__(f"{key} stands at version {version}")


class StoreLeaseError(PlatformError):
    """The lease that a write named has ended: it had no effect."""


class StoreBudgetError(PlatformError):
    """The daemon's own budget of store calls is used up."""


class CallError(BurdockdealError):
    """A request ends without an upstream's answer.

    :param reason: why.
    :param detail: one plain line for the caller.
    """

    outcome = verdict.Verdict.MAY_HAVE_RUN
    #: Seconds after which it is worth while to ask again.
    retry_after_s = 0.0

    def __init__(self, reason: verdict.Reason, detail: str = "") -> None:
        self.reason = reason
        self.detail = detail or reason.value.lower().replace("_", " ")
        super().__init__(self.detail)


class NotRunError(CallError):
    """No upstream ran the request, and none will.

    :param settled: whether no earlier send with the same key ran either.
    :param retry_after_s: seconds after which there may be room.
    """

    outcome = verdict.Verdict.NOT_RUN

    def __init__(
        self,
        reason: verdict.Reason,
        detail: str = "",
        *,
        settled: bool = False,
        retry_after_s: float = 0.0,
    ) -> None:
        self.settled = settled
        self.retry_after_s = retry_after_s
        super().__init__(reason, detail)


class KeyHeldError(NotRunError):
    """Another daemon holds the call's key: only that one may run it.

    :param daemon: its name.
    :param incarnation: of that daemon.
    """

    def __init__(self, daemon: str, incarnation: int) -> None:
        self.daemon = daemon
        self.incarnation = incarnation
        super().__init__(verdict.Reason.KEY_HELD, f"held by {daemon}")


class MayHaveRunError(CallError):
    """An upstream may have run the request."""


class LostAnswerError(MayHaveRunError):
    """A request was sent, and its connection gave no answer."""


class RanError(CallError):
    """An upstream ran the request, but its answer can't be given."""

    outcome = verdict.Verdict.RAN
