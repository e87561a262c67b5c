"""State of admission control: the calls that run and those that wait."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How many calls may start on the upstream while it is cold.

    :param starts_per_s: starts per second, above 0.
    :param cold_until: when it stops being cold, as monotonic time in
        seconds; infinite if that isn't known.
    """

    starts_per_s: float
    cold_until: float

    def is_cold(self, now: float) -> bool:
        """Return whether the pace applies.

        :param now: monotonic time in seconds.
        """
        return now < self.cold_until


@dataclasses.dataclass(frozen=True, slots=True)
class Starts:
    """The recent starts on the upstream.

    :param pace: None if calls may start at any rate.
    :param times: the latest starts, as monotonic times in seconds.
    :param reserved: calls that hold a slot and have not started yet.
    """

    pace: Pace | None = None
    times: tuple[float, ...] = ()
    reserved: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RankPolicy:
    """How admission control treats the calls of one rank.

    :param urgency: the order in which waiting calls start; 0 is first.
    :param worth: the value of one answer in time; on a full queue the rank
        with the least worth is shed first.
    :param target_s: the wait past which an answer is late, in seconds.
    :param floor: the share of the slots and of the queue reserved for the
        rank.
    :param late_share: the share of the time from arrival to deadline for
        which a call may wait, where that is longer than the target. Once
        overdue, it gets only slots that no call within its target asks
        for.
    """

    name: str
    urgency: int
    worth: float
    target_s: float
    floor: float
    late_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """How many calls the upstream accepts now.

    :param slots: calls that may run concurrently.
    :param upload_slots: slots that streamed bodies may hold concurrently.
    :param queue_limit: calls that may wait.
    :param is_slow: whether the upstream's machine is slow at this moment,
        so that no call should start.
    :param announced_slots: slots that the upstream announced; more than
        ``slots`` while some are left free to avoid saturation.
    :param warm_up_share: the share of the slots for calls that may run on
        another instance; less than 1 while the upstream warms up.
    :param pace: the pace of starts while the upstream is cold; None if the
        service has no rate for that.
    """

    slots: int
    upload_slots: int
    queue_limit: int
    is_slow: bool = False
    announced_slots: int = 0
    warm_up_share: float = 1.0
    pace: Pace | None = None

    @property
    def ramped_slots(self) -> int:
        """The slots for calls that may run on another instance."""
        return min(self.slots, max(1, round(self.warm_up_share * self.slots)))

    @property
    def total_slots(self) -> int:
        """The slots, including those left free to avoid saturation."""
        return max(self.announced_slots, self.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks for a slot.

    :param number: the order of arrival, unique within one controller.
    :param arrived_at: monotonic time in seconds.
    :param deadline: monotonic time in seconds.
    :param streamed: whether its body is passed on as it arrives.
    :param may_queue: whether it waits if it can't start immediately, because
        no other instance can start it either.
    :param workspace: its workspace, empty for none.
    :param weight: the share of that workspace relative to the others.
    """

    number: int
    policy: RankPolicy
    arrived_at: float
    deadline: float
    streamed: bool = False
    may_queue: bool = True
    workspace: str = ""
    weight: float = 1.0

    @property
    def due_at(self) -> float:
        """When it becomes overdue: monotonic time in seconds."""
        return min(self.arrived_at + self.policy.target_s, self.deadline)

    @property
    def wait_until(self) -> float:
        """When it stops waiting: monotonic time in seconds."""
        allowed_s = self.policy.late_share * (self.deadline - self.arrived_at)
        return max(
            self.due_at, min(self.arrived_at + allowed_s, self.deadline)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """The calls of one rank and the slot time its floor is owed.

    :param running: calls in flight, including uploads.
    :param running_uploads: calls in flight whose body is streamed.
    :param waiting: calls that wait, including uploads.
    :param waiting_uploads: waiting calls with a streamed body.
    :param credit: slot-seconds that the floor entitles the rank to and
        that it has not had; negative if it had more than its floor.
    :param credited_at: when the credit was last updated, monotonic time in
        seconds.
    :param dequeued_at: when a waiting call was last started, or when the
        queue last became non-empty, whichever is later.
    :param dequeue_interval_s: smoothed time between two such starts.
    """

    policy: RankPolicy
    running: int = 0
    running_uploads: int = 0
    waiting: int = 0
    waiting_uploads: int = 0
    credit: float = 0.0
    credited_at: float = 0.0
    dequeued_at: float = 0.0
    dequeue_interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTimes:
    """How long calls hold a slot of the upstream.

    :param samples: the most recent service times, in seconds; streamed
        bodies are left out.
    :param service_s: the median of the samples.
    :param upload_s: smoothed time for which an upload holds a slot.
    :param changed_at: when a call last started or ended, monotonic time in
        seconds.
    """

    samples: tuple[float, ...] = ()
    service_s: float = 0.0
    upload_s: float = 0.0
    changed_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FairPosition:
    """The place of an arriving call among those that wait in its rank.

    :param ahead: the number of calls that start before it.
    :param shed_workspace: the workspace whose newest call makes room for it,
        None if none has more waiting for its weight.
    """

    ahead: int
    shed_workspace: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The complete input of the admission decisions at one moment.

    :param ranks: by the rank's name.
    :param overdue: the names of ranks whose waiting calls are all overdue.
    :param position: the place of the call that arrives, None if calls of its
        rank start in the order of their targets.
    :param starts: the recent starts on the upstream.
    """

    ranks: dict[str, RankState]
    capacity: Capacity
    service_times: ServiceTimes
    overdue: frozenset[str] = frozenset()
    position: FairPosition | None = None
    starts: Starts = Starts()

    @property
    def running(self) -> int:
        """How many calls are in flight."""
        return sum(each.running for each in self.ranks.values())

    @property
    def running_uploads(self) -> int:
        """How many calls in flight have a streamed body."""
        return sum(each.running_uploads for each in self.ranks.values())

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return sum(each.waiting for each in self.ranks.values())
