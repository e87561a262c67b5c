"""The outcome of a send, and the error that a call ends with."""

import asyncio
import dataclasses

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import pending_send
from burdockdeal.retry import state
from burdockdeal.serving import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one send, or of a send and its hedge.

    :param progress: the progress of the call after the send.
    :param response: the response; None if the send failed.
    :param context: closes the response; None if the send failed.
    :param error: why the send failed; None if there is a response.
    """

    progress: state.Progress
    response: messages.Response | None = None
    context: pending_send.ResponseContext | None = None
    error: errors.CallError | None = None


def find_error(task: asyncio.Task) -> errors.CallError | None:
    """Return the call error that a send ended with, None if there is none.

    :raises Exception: if the send failed for another reason.
    """
    if not task.done() or task.cancelled():
        return None
    error = task.exception()
    if error is None or isinstance(error, errors.CallError):
        return error
    raise error


def choose_final_error(
    progress: state.Progress, outcome: Outcome | None
) -> errors.CallError:
    """Choose the error that a call ends with after its last send.

    :param outcome: the outcome of that send, None if there was no instance.
    """
    error = outcome.error if outcome else None
    if error is None:
        return errors.NotRunError(verdict.Reason.NO_INSTANCE)
    if progress.may_have_run and error.outcome is verdict.Verdict.NOT_RUN:
        # The last send did not run, but an earlier one may have.
        return errors.MayHaveRunError(error.reason, error.detail)
    return error
