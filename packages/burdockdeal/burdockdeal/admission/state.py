"""The gate beside an upstream: what runs and what waits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RankPolicy:
    """What a rank of work is promised.

    :param target_s: the wait past which an answer is late, in seconds.
    :param floor: the share of slots that it keeps.
    :param late_share: the share of the time to its deadline in which a call
        goes on waiting when its target has passed, for a slot that no call
        in time asks for.
    """

    name: str
    urgency: int
    worth: float
    target_s: float
    floor: float
    late_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What the upstream takes now.

    :param slots: calls that may run at once.
    :param uploads: slots that streamed bodies may hold at once.
    :param queue_limit: calls that may wait.
    :param slow: whether nothing should start at this moment, since its
        machine is slow.
    :param whole: slots that the upstream has, if some are left free.
    :param warm: the share of the slots for calls that may go elsewhere; less
        than 1 while the upstream is cold.
    """

    slots: int
    upload_slots: int
    queue_limit: int
    is_slow: bool = False
    announced_slots: int = 0
    warm_up_share: float = 1.0

    @property
    def ramped_slots(self) -> int:
        """The slots for calls that may go elsewhere."""
        return min(self.slots, max(1, round(self.warm_up_share * self.slots)))

    @property
    def total_slots(self) -> int:
        """The slots, those that are better left free among them."""
        return max(self.announced_slots, self.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A call at the gate.

    :param arrived: monotonic time in seconds.
    :param deadline: monotonic time in seconds.
    :param streamed: whether its body is passed on as it comes.
    :param patient: whether it waits if it can't start at once, as no
        other instance can start it either.
    """

    number: int
    terms: RankPolicy
    arrived: float
    deadline: float
    streamed: bool = False
    patient: bool = True

    @property
    def due(self) -> float:
        """When it is overdue: monotonic time in seconds."""
        return min(self.arrived + self.terms.target_s, self.deadline)

    @property
    def ends(self) -> float:
        """When its wait is too long: monotonic time in seconds."""
        allowed_s = self.terms.late_share * (self.deadline - self.arrived)
        return max(self.due, min(self.arrived + allowed_s, self.deadline))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One rank's work at the gate.

    :param running: calls in flight, the uploads among them.
    :param uploads: calls in flight whose body is streamed.
    :param waiting: calls that wait, the uploads among them.
    :param waiting_uploads: calls that wait with a streamed body.
    :param credit: slot-seconds that its floor has it owed; below 0 if it
        had more than its floor.
    :param credited_at: when the credit was brought up to date.
    :param started_at: when a call that had waited was last started, or
        the first call began to wait, whichever is later.
    :param interval_s: smoothed time between two such starts.
    """

    terms: RankPolicy
    running: int = 0
    uploads: int = 0
    waiting: int = 0
    waiting_uploads: int = 0
    credit: float = 0.0
    credited_at: float = 0.0
    started_at: float = 0.0
    interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How fast the upstream works.

    :param samples: the newest service times, in seconds.
    :param service_s: their median.
    :param upload_s: smoothed time that an upload holds a slot.
    :param moved_at: when a call last started or ended.
    """

    samples: tuple[float, ...] = ()
    service_s: float = 0.0
    upload_s: float = 0.0
    moved_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Gathering:
    """All that the decisions at the gate look at.

    :param lines: by the rank's name.
    :param overdue: the names of ranks whose waiting calls are all overdue.
    """

    lines: dict[str, Line]
    room: Capacity
    pace: Pace
    overdue: frozenset[str] = frozenset()

    @property
    def running(self) -> int:
        """How many calls are in flight."""
        return sum(line.running for line in self.lines.values())

    @property
    def uploads(self) -> int:
        """How many calls in flight have a streamed body."""
        return sum(line.uploads for line in self.lines.values())

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return sum(line.waiting for line in self.lines.values())
