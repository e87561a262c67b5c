"""Checks of whether the upstream beside this daemon may start a call."""

from collections import abc

from burdockdeal.announce import api as announce_api
from burdockdeal.bookings import send_registry
from burdockdeal.bookings import state as bookings
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal.serving import classification
from burdockdeal.serving import messages
from burdockdeal.workspaces import decisions as workspaces

#: Returns the configuration in force, None before the first has arrived.
GetConfiguration = abc.Callable[
    [], classification.CompiledConfiguration | None
]

#: Raises an error if a send may not start.
CheckStart = abc.Callable[[messages.Send], None]


def identify_send(
    send: messages.Send,
) -> tuple[bookings.SendId, int, float]:
    """Return what identifies a send in the registry of sends."""
    request = send.request
    name = bookings.SendId(request.request_id, send.attempt)
    return name, send.daemon_incarnation, request.deadline


def make_start_check(
    tracker: announce_api.UpstreamTracker,
    configuration: GetConfiguration,
    registry: send_registry.SendRegistry,
    circuit_breaker: breaker.CircuitBreaker,
    is_evacuated: abc.Callable[[], bool],
) -> CheckStart:
    """Make the check whether the upstream may start a call.

    It raises NotRunError if it may not.

    :param tracker: the state of the upstream beside this daemon.
    :param registry: decides which sends that are not idempotent may start.
    :param circuit_breaker: the circuit breaker of the upstream.
    :param is_evacuated: returns whether this failure domain is evacuated.
    """

    def check_key(send: messages.Send) -> None:
        current, request = configuration(), send.request
        # By an older configuration than the entry's, a new key is unknown.
        if current is None or current.revision <= request.revision:
            return
        if workspaces.is_key_withdrawn(
            current.workspaces, request.workspace, request.key_id
        ):
            raise errors.NotRunError(verdict.Reason.KEY_REFUSED)

    def check(send: messages.Send) -> None:
        if is_evacuated():
            raise errors.NotRunError(verdict.Reason.EVACUATED)
        if not tracker.may_start_call():
            raise errors.NotRunError(verdict.Reason.DRAINING)
        announced = tracker.upstream.announce
        if (
            send.incarnation != tracker.upstream.incarnation
            or announced is None
            or announced.service != send.request.service
        ):
            raise errors.NotRunError(verdict.Reason.STALE_INSTANCE)
        if not circuit_breaker.allows_call(
            send.incarnation, idempotent=send.request.idempotent
        ):
            raise errors.NotRunError(verdict.Reason.FAILING)
        check_key(send)
        if not send.request.idempotent:
            registry.check(*identify_send(send))

    return check
