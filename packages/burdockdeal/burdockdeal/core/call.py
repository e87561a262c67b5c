"""A call and the envelope that carries it between daemons."""

import dataclasses

#: Largest nesting depth of a call; deeper calls are refused to stop loops.
MAX_DEPTH = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request in the form that the daemons route.

    :param request_id: identifies the request in the logs of every process.
    :param service: name of the service that is to handle it.
    :param rank: name of its priority class.
    :param deadline: monotonic time in seconds after which no upstream may
        start it.
    :param depth: number of calls that it is nested in; 0 for a request that
        does not come from another service.
    :param retry_tokens: number of further sends that it and the calls nested
        in it may cause.
    :param idempotent: whether an upstream may run it more than once.
    :param idempotency_key: the caller's idempotency key, None without one.
    :param max_sends: maximum number of instances that it may be sent to.
    :param body_bytes: length of its body in bytes, 0 if it is unknown.
    :param repeated: whether an earlier send of it may have reached an
        upstream.
    :param workspace: name of the workspace that it belongs to, empty for an
        anonymous call.
    :param key_id: identifies the workspace's key that it came with, without
        disclosing it; empty for an anonymous call.
    :param regions: the regions in which it may be served, empty for all.
    :param revision: revision of the configuration by which it was accepted.
    :param urgency: order of priority of its rank in that configuration, None
        if it is not known.
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
    workspace: str = ""
    key_id: str = ""
    regions: frozenset[str] = frozenset()
    revision: int = 0
    urgency: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A call in the header that carries it from one daemon to another.

    The deadline travels as the remaining time, because the monotonic clocks
    of two processes can't be compared.

    :param remaining_ms: milliseconds until the deadline.
    :param instance: the instance that the entry daemon chose.
    :param incarnation: the upstream's incarnation, as the sender knows it.
    :param attempt: number of this send, from 1.
    :param daemon_incarnation: the receiving daemon's incarnation, as the
        sender knows it.
    :param sent_at: lower bound of the receiving daemon's clock, in seconds,
        at the time of sending; None if the sender has no reading of it.
    :param may_queue: whether the call queues if it can't start at once.
    :param repeated: whether an earlier send of the call may have reached an
        upstream.
    :param workspace: name of the call's workspace, empty for an anonymous
        call.
    :param key_id: identifies the key that the call came with.
    :param revision: revision of the configuration by which the call was
        accepted.
    :param urgency: order of priority of the call's rank in that
        configuration, None if it is not known.
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
    may_queue: bool = False
    repeated: bool = False
    workspace: str = ""
    key_id: str = ""
    revision: int = 0
    urgency: int | None = None


def build_envelope(
    call: Call,
    instance: str,
    incarnation: int,
    attempt: int,
    now: float,
    *,
    daemon_incarnation: int = 0,
    sent_at: float | None = None,
    may_queue: bool = False,
) -> Envelope:
    """Build the envelope for one send of a call.

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
        may_queue=may_queue,
        repeated=call.repeated,
        workspace=call.workspace,
        key_id=call.key_id,
        revision=call.revision,
        urgency=call.urgency,
    )


def extract_call(envelope: Envelope, now: float) -> Call:
    """Convert an envelope to a call.

    The remaining time counts from the time of sending where that is known,
    so that time spent in the socket buffers of a process that was stopped
    counts against the deadline.

    :param now: monotonic time in seconds.
    :returns: the call, with its deadline on this process's clock.
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
        workspace=envelope.workspace,
        key_id=envelope.key_id,
        revision=envelope.revision,
        urgency=envelope.urgency,
    )
