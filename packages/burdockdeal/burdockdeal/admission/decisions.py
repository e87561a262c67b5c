"""Admission decisions: run, queue or refuse a call, and which runs next."""

from collections import abc
import dataclasses
import enum

from burdockdeal.admission import cold_start
from burdockdeal.admission import service_times
from burdockdeal.admission import state

#: The period over which a rank's floor is kept, in seconds. It bounds the
#: credit of a rank, and the debt for slots that it borrowed.
FLOOR_WINDOW_S = 0.1

_SMOOTHING = 0.2


class Decision(enum.Enum):
    """The decision on a call that asks for a slot."""

    RUN = "RUN"
    WAIT = "WAIT"
    REFUSE_FULL = "REFUSE_FULL"
    REFUSE_LATE = "REFUSE_LATE"
    REFUSE_TARGET = "REFUSE_TARGET"
    REFUSE_SLOW = "REFUSE_SLOW"
    REFUSE_BUSY = "REFUSE_BUSY"
    REFUSE_COLD = "REFUSE_COLD"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A decision on a call, and on the waiting call it displaces, if any.

    :param shed_rank: the rank whose newest waiting call is shed to make
        room in the queue.
    :param shed_workspace: the workspace of that call, None for any.
    """

    decision: Decision
    shed_rank: str | None = None
    shed_workspace: str | None = None


def compute_credit(
    rank: state.RankState, slots: int, service_s: float, now: float
) -> float:
    """Compute how much slot time a rank's floor is owed now.

    While calls of the rank wait, it earns its floor's share of the slots
    and pays for the slots that it holds. Slots that it doesn't ask for are
    lent out, so an idle rank earns nothing and can only pay off its debt.

    :param slots: calls that may run concurrently.
    :param service_s: usual service time, in seconds.
    :param now: monotonic time in seconds.
    :returns: slot-seconds; negative if the rank had more than its floor.
    """
    share = rank.policy.floor * slots
    bound = share * FLOOR_WINDOW_S + service_s
    gain = (share - rank.running) * (now - rank.credited_at)
    credit = rank.credit + gain
    if not rank.waiting:
        credit = min(credit, max(rank.credit, 0.0))
    return min(bound, max(-bound, credit))


def record_waiting(
    rank: state.RankState,
    request: state.AdmissionRequest,
    change: int,
    *,
    slots: int,
    service_s: float,
    now: float,
) -> state.RankState:
    """Record that a call joins the queue or leaves it.

    :param change: 1 if it joins the queue, -1 if it leaves it.
    :param slots: calls that may run concurrently.
    :param service_s: usual service time, in seconds.
    :param now: monotonic time in seconds.
    """
    return dataclasses.replace(
        rank,
        credit=compute_credit(rank, slots, service_s, now),
        credited_at=now,
        waiting=rank.waiting + change,
        waiting_uploads=rank.waiting_uploads + change * request.streamed,
        dequeued_at=rank.dequeued_at if rank.waiting else now,
    )


def record_running(
    rank: state.RankState,
    request: state.AdmissionRequest,
    change: int,
    *,
    slots: int,
    service_s: float,
    now: float,
) -> state.RankState:
    """Record that a call starts or ends.

    :param change: 1 if it starts, -1 if it ends.
    :param slots: calls that may run concurrently.
    :param service_s: usual service time, in seconds.
    :param now: monotonic time in seconds.
    """
    # Every call passes here, and replace() takes six times as long.
    return state.RankState(
        policy=rank.policy,
        running=rank.running + change,
        running_uploads=rank.running_uploads + change * request.streamed,
        waiting=rank.waiting,
        waiting_uploads=rank.waiting_uploads,
        credit=compute_credit(rank, slots, service_s, now),
        credited_at=now,
        dequeued_at=rank.dequeued_at,
        dequeue_interval_s=rank.dequeue_interval_s,
    )


def replace_policy(
    rank: state.RankState, policy: state.RankPolicy
) -> state.RankState:
    """Apply a changed configuration of a rank; its counts go on."""
    return dataclasses.replace(rank, policy=policy)


def record_dequeue(rank: state.RankState, now: float) -> state.RankState:
    """Record that a waiting call starts.

    :param now: monotonic time in seconds.
    """
    interval_s = now - rank.dequeued_at
    before = rank.dequeue_interval_s or interval_s
    return dataclasses.replace(
        rank,
        dequeued_at=now,
        dequeue_interval_s=before + _SMOOTHING * (interval_s - before),
    )


def _has_startable(rank: state.RankState, has_upload_slot: bool) -> bool:
    blocked = 0 if has_upload_slot else rank.waiting_uploads
    return rank.waiting > blocked


def has_upload_slot(snapshot: state.Snapshot) -> bool:
    """Return whether one more streamed body may hold a slot."""
    return snapshot.running_uploads < snapshot.capacity.upload_slots


def estimate_service_s(snapshot: state.Snapshot, now: float) -> float:
    """Estimate how long a call takes that starts now, in seconds.

    :param now: monotonic time in seconds.
    """
    return service_times.estimate_service_s(
        snapshot.service_times,
        running=snapshot.running,
        slots=snapshot.capacity.slots,
        now=now,
    )


def select_next(
    snapshot: state.Snapshot, now: float
) -> state.RankState | None:
    """Select the rank whose first waiting call starts next.

    Ranks with calls within their target go before ranks whose calls are
    all overdue. Among these, ranks that are owed some of their floor go
    first. Then the most urgent rank is taken, and among equally urgent
    ones the one of the greatest worth.

    :param now: monotonic time in seconds.
    :returns: None if no call can start.
    """
    slots = snapshot.capacity.slots
    if snapshot.running >= slots or snapshot.capacity.is_slow:
        return None
    if not cold_start.may_start(snapshot.starts, now):
        return None
    fits = has_upload_slot(snapshot)
    ready = [
        each for each in snapshot.ranks.values() if _has_startable(each, fits)
    ]
    if not ready:
        return None
    in_time = [
        each for each in ready if each.policy.name not in snapshot.overdue
    ]
    ready = in_time or ready
    service_s = snapshot.service_times.service_s
    owed = [
        each
        for each in ready
        if compute_credit(each, slots, service_s, now) > 0
    ]
    return min(owed or ready, key=_precedence)


def _precedence(rank: state.RankState) -> tuple[int, float]:
    return (rank.policy.urgency, -rank.policy.worth)


def estimate_wait_s(
    request: state.AdmissionRequest, snapshot: state.Snapshot, now: float
) -> float:
    """Estimate how long a call would wait that arrives now.

    The model divides the service time of the calls ahead by the slots; the
    rank's floor puts an upper bound on it. The estimate is at least what
    the rank's recent dequeue intervals give, because these include all
    delays that the model leaves out, and at least what the pace of a cold
    upstream gives.

    :param now: monotonic time in seconds.
    :returns: seconds.
    """
    own = snapshot.ranks[request.policy.name]
    ahead = [
        each
        for each in snapshot.ranks.values()
        if each.policy.urgency < request.policy.urgency or each is own
    ]
    overtaken = 0
    if request.streamed:
        own_ahead = own.waiting_uploads
        total_ahead = sum(each.waiting_uploads for each in ahead)
        service_s = snapshot.service_times.upload_s
        slots = snapshot.capacity.upload_slots
    else:
        own_ahead = own.waiting - own.waiting_uploads
        if snapshot.position is not None:
            overtaken = max(0, own_ahead - snapshot.position.ahead)
        own_ahead -= overtaken
        total_ahead = sum(
            each.waiting - each.waiting_uploads for each in ahead
        )
        total_ahead -= overtaken
        service_s = estimate_service_s(snapshot, now)
        slots = snapshot.capacity.slots - snapshot.running_uploads
    modelled = (total_ahead + 1) * service_s / max(1, slots)
    share = request.policy.floor * slots
    if share > 0:
        modelled = min(modelled, (own_ahead + 1) * service_s / share)
    paced = cold_start.estimate_wait_s(
        snapshot.starts,
        own.policy,
        sum(each.waiting for each in ahead) - overtaken,
        own.waiting - overtaken,
        now,
    )
    return max(modelled, paced, own_ahead * own.dequeue_interval_s)


def _find_latest_start(
    request: state.AdmissionRequest, snapshot: state.Snapshot, now: float
) -> float:
    """Return when a call must be able to start for it to be queued.

    On a cold upstream the queue is not for overdue calls.

    :returns: monotonic time in seconds.
    """
    pace = snapshot.starts.pace
    is_cold = pace is not None and pace.is_cold(now)
    return request.due_at if is_cold else request.wait_until


def _is_within_queue_floor(
    rank: state.RankState, extra: int, limit: int
) -> bool:
    return rank.waiting + extra <= int(rank.policy.floor * limit)


def select_shed_rank(
    arriving: state.RankState,
    ranks: abc.Iterable[state.RankState],
    limit: int,
) -> state.RankState | None:
    """Select the rank whose newest waiting call makes room for another.

    The floor reserves a share of the queue as well. Of the ranks above
    their share, the one with the least worth is shed, and only for a call
    of greater worth or for one that is within its own rank's share.

    :param arriving: the rank of the call that arrives.
    :param limit: calls that may wait.
    :returns: None if the arriving call has to be refused.
    """
    protected = _is_within_queue_floor(arriving, 1, limit)
    candidates = [
        each
        for each in ranks
        if each.waiting
        and each.policy.name != arriving.policy.name
        and not _is_within_queue_floor(each, 0, limit)
        and (protected or each.policy.worth < arriving.policy.worth)
    ]
    return min(candidates, key=lambda each: each.policy.worth, default=None)


def admit(
    request: state.AdmissionRequest, snapshot: state.Snapshot, now: float
) -> Admission:
    """Decide on a call that arrives.

    Answers a queue that one workspace has filled, too: a call of another one
    is admitted by the calls that start before it in the fair order.

    The caller starts every waiting call that can start before it asks, so
    a call that finds a free slot overtakes no other.

    :param now: monotonic time in seconds.
    """
    capacity = snapshot.capacity
    if now >= request.deadline:
        return Admission(Decision.REFUSE_LATE)
    if capacity.is_slow and not request.may_queue:
        return Admission(Decision.REFUSE_SLOW)
    fits = not request.streamed or has_upload_slot(snapshot)
    slots = capacity.slots if request.may_queue else capacity.ramped_slots
    is_free = snapshot.running < slots and fits and not capacity.is_slow
    is_paced = not cold_start.may_start(snapshot.starts, now)
    if is_free and not is_paced:
        return Admission(Decision.RUN)
    if not request.may_queue:
        return Admission(
            Decision.REFUSE_COLD if is_paced else Decision.REFUSE_BUSY
        )
    allowed_s = _find_latest_start(request, snapshot, now) - now
    if estimate_wait_s(request, snapshot, now) > allowed_s:
        return Admission(Decision.REFUSE_TARGET)
    rank = snapshot.ranks[request.policy.name]
    is_full = snapshot.waiting >= capacity.queue_limit
    position = snapshot.position
    if position is not None and position.shed_workspace is not None:
        in_order = dataclasses.replace(snapshot, position=None)
        if is_full or estimate_wait_s(request, in_order, now) > allowed_s:
            # It delays the calls of workspaces that have more waiting. The
            # last of them would miss its target, so it is refused at once.
            return Admission(
                Decision.WAIT, rank.policy.name, position.shed_workspace
            )
    if not is_full:
        return Admission(Decision.WAIT)
    shed = select_shed_rank(
        rank, snapshot.ranks.values(), capacity.queue_limit
    )
    if shed is None:
        return Admission(Decision.REFUSE_FULL)
    return Admission(Decision.WAIT, shed.policy.name)


def check_start(request: state.AdmissionRequest, now: float) -> Decision:
    """Decide on a call whose wait has ended.

    :param now: monotonic time in seconds.
    """
    if now >= request.deadline:
        return Decision.REFUSE_LATE
    return Decision.REFUSE_TARGET if now > request.wait_until else Decision.RUN
