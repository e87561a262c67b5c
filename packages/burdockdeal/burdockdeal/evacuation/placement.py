"""Refusal of calls that may not be sent to any instance."""

from collections import abc

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.evacuation import active


def make_placement_check(
    has_instance: abc.Callable[[call.Call], bool],
    evacuations: active.ActiveEvacuation,
) -> abc.Callable[[call.Call], None]:
    """Make the check that refuses a call before its body is read.

    It raises NotRunError if no region in which the call may be served has an
    instance, or only evacuated domains have one. A call with an idempotency
    key is left to the daemon that holds the key, which alone knows whether it
    ran.

    :param has_instance: returns whether an instance for a call is known.
    """

    def check(work: call.Call) -> None:
        if has_instance(work) or work.idempotency_key is not None:
            return
        if work.regions:
            raise errors.NotRunError(verdict.Reason.NO_REGION)
        if evacuations.current.domains:
            raise errors.NotRunError(verdict.Reason.NO_INSTANCE)

    return check
