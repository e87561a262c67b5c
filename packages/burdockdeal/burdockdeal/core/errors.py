"""The exception tree."""

import dataclasses

from burdockdeal.core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class FieldViolation:
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


class ValidationError(BurdockdealError):
    """Something given from outside is wrong.

    :param subject: what was checked, such as a file's name.
    :param faults: every fault that was found.
    """

    def __init__(
        self, subject: str, faults: tuple[FieldViolation, ...]
    ) -> None:
        self.subject = subject
        self.faults = faults
        listing = "; ".join(str(fault) for fault in faults)
        super().__init__(f"{subject}: {listing}")


class SettingsError(ValidationError):
    """A settings file is wrong."""


class ResourceError(ValidationError):
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


class StoreBudgetExhaustedError(PlatformError):
    """The daemon's own budget of store calls is used up."""


#: Seconds after which it is worth while to ask again: until a slow machine
#: is quick again, a queue has moved on, the fleet has heard of a change, or
#: a daemon that starts knows its configuration.
RETRY_AFTER_S: dict[verdict.Reason, float] = {
    verdict.Reason.SLOWED: 0.1,
    verdict.Reason.BUSY: 0.1,
    verdict.Reason.FAILING: 0.2,
    verdict.Reason.QUEUE_FULL: 0.15,
    verdict.Reason.SHED: 0.15,
    verdict.Reason.TARGET_MISSED: 0.15,
    verdict.Reason.OVERLOADED: 0.15,
    verdict.Reason.UPSTREAM_REFUSED: 0.15,
    verdict.Reason.DRAINING: 0.1,
    verdict.Reason.STALE_INSTANCE: 0.1,
    verdict.Reason.UNREACHABLE: 0.1,
    verdict.Reason.NO_INSTANCE: 0.3,
    verdict.Reason.FENCED: 0.05,
    verdict.Reason.NOT_CONFIGURED: 0.5,
}


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
    """

    outcome = verdict.Verdict.NOT_RUN

    def __init__(
        self,
        reason: verdict.Reason,
        detail: str = "",
        *,
        settled: bool = False,
    ) -> None:
        self.settled = settled
        self.retry_after_s = RETRY_AFTER_S.get(reason, 0.0)
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


class LostResponseError(MayHaveRunError):
    """A request was sent, and its connection gave no answer."""


class RanError(CallError):
    """An upstream ran the request, but its answer can't be given."""

    outcome = verdict.Verdict.RAN
