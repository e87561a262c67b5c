"""One call on its way through the daemons."""

import dataclasses

#: Calls nested deeper than this are refused.
MAX_DEPTH = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as the daemons know it.

    :param request_id: names the request in every process.
    :param service: the service that is to answer.
    :param rank: the rank of work.
    :param deadline: monotonic time in seconds after which it must not run.
    :param depth: how many calls it is nested in, 0 for a caller's own.
    :param retry_tokens: how many more sends it may cause, at all layers.
    :param idempotent: whether it may be run more than once.
    :param idempotency_key: the caller's key, None without one.
    :param most_sends: instances that it may be sent to at most.
    :param body_bytes: the length of its body, as far as it is known.
    :param repeated: whether it had reached an upstream before this send.
    """

    request_id: str
    service: str
    rank: str
    deadline: float
    depth: int = 0
    retry_tokens: int = 0
    idempotent: bool = False
    idempotency_key: str | None = None
    max_sends: int = 3
    body_bytes: int = 0
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A call as one daemon hands it to another, in one header.

    The deadline travels as the time that is left, since the clocks of
    two processes are not compared.

    :param remaining_ms: milliseconds until the deadline.
    :param instance: the instance that the entry chose.
    :param incarnation: the upstream's incarnation that the entry knows.
    :param attempt: 1 for the first send.
    :param daemon_incarnation: the receiving daemon's, as the sender knows
        it.
    :param sent_at: the receiver's clock when it was sent, in seconds, at
        the least; None if the sender never heard that clock.
    :param patient: whether it waits if it can't start at once.
    :param repeated: whether it had reached an upstream before.
    """

    request_id: str
    service: str
    rank: str
    remaining_ms: float
    depth: int
    retry_tokens: int
    idempotent: bool
    idempotency_key: str | None
    instance: str
    incarnation: int
    attempt: int
    daemon_incarnation: int = 0
    sent_at: float | None = None
    patient: bool = False
    repeated: bool = False


def build_envelope(
    call: Call,
    instance: str,
    incarnation: int,
    attempt: int,
    now: float,
    *,
    daemon_incarnation: int = 0,
    sent_at: float | None = None,
    patient: bool = False,
) -> Envelope:
    """Make the envelope for one send of a call.

    :param now: monotonic time in seconds.
    :returns: the envelope.
    """
    return Envelope(
        request_id=call.request_id,
        service=call.service,
        rank=call.rank,
        remaining_ms=round((call.deadline - now) * 1000, 3),
        depth=call.depth,
        retry_tokens=call.retry_tokens,
        idempotent=call.idempotent,
        idempotency_key=call.idempotency_key,
        instance=instance,
        incarnation=incarnation,
        attempt=attempt,
        daemon_incarnation=daemon_incarnation,
        sent_at=sent_at,
        patient=patient,
        repeated=call.repeated,
    )


def extract_call(envelope: Envelope, now: float) -> Call:
    """Read the call out of an envelope.

    The time that is left counts from when it was sent, where that is
    known, so that what lay in a frozen process's buffers is late.

    :param now: monotonic time in seconds.
    :returns: the call, its deadline on this process's clock.
    """
    sent_at = now if envelope.sent_at is None else envelope.sent_at
    return Call(
        request_id=envelope.request_id,
        service=envelope.service,
        rank=envelope.rank,
        deadline=min(now, sent_at) + envelope.remaining_ms / 1000,
        depth=envelope.depth,
        retry_tokens=envelope.retry_tokens,
        idempotent=envelope.idempotent,
        idempotency_key=envelope.idempotency_key,
        repeated=envelope.repeated,
    )
