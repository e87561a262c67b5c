"""Decisions at the gate: run, wait, refuse, and which call is next."""

from collections import abc
import dataclasses
import enum

from burdockdeal.admission import service_times
from burdockdeal.admission import state

#: The span over which a floor is kept, in seconds: the bound on what a
#: rank can be owed, and on what lending it slots is held against it.
FLOOR_WINDOW_S = 0.1

_SMOOTHING = 0.2


class Decision(enum.Enum):
    """What becomes of a call at the gate."""

    RUN = "RUN"
    WAIT = "WAIT"
    REFUSE_FULL = "REFUSE_FULL"
    REFUSE_LATE = "REFUSE_LATE"
    REFUSE_TARGET = "REFUSE_TARGET"
    REFUSE_SLOW = "REFUSE_SLOW"
    REFUSE_BUSY = "REFUSE_BUSY"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A decision, and the rank whose newest waiting call makes room."""

    decision: Decision
    shed: str | None = None


def find_credit(
    line: state.Line, slots: int, service_s: float, now: float
) -> float:
    """Find what a rank's floor has it owed now.

    While it has work that waits, a rank earns its floor's share of the
    slots and pays for those that it holds. What it isn't asking for is
    lent out, so an idle rank earns nothing; it only pays its debt off.

    :returns: slot-seconds.
    """
    share = line.terms.floor * slots
    bound = share * FLOOR_WINDOW_S + service_s
    gain = (share - line.running) * (now - line.credited_at)
    credit = line.credit + gain
    if not line.waiting:
        credit = min(credit, max(line.credit, 0.0))
    return min(bound, max(-bound, credit))


def note_waiting(
    line: state.Line,
    ticket: state.Ticket,
    change: int,
    *,
    slots: int,
    service_s: float,
    now: float,
) -> state.Line:
    """Take in that a call begins to wait (1) or gives up waiting (-1)."""
    return dataclasses.replace(
        line,
        credit=find_credit(line, slots, service_s, now),
        credited_at=now,
        waiting=line.waiting + change,
        waiting_uploads=line.waiting_uploads + change * ticket.streamed,
        started_at=line.started_at if line.waiting else now,
    )


def note_running(
    line: state.Line,
    ticket: state.Ticket,
    change: int,
    *,
    slots: int,
    service_s: float,
    now: float,
) -> state.Line:
    """Take in that a call starts (1) or ends (-1)."""
    # On the path of every call, where replace() takes six times as long.
    return state.Line(
        terms=line.terms,
        running=line.running + change,
        uploads=line.uploads + change * ticket.streamed,
        waiting=line.waiting,
        waiting_uploads=line.waiting_uploads,
        credit=find_credit(line, slots, service_s, now),
        credited_at=now,
        started_at=line.started_at,
        interval_s=line.interval_s,
    )


def change_terms(line: state.Line, terms: state.RankPolicy) -> state.Line:
    """Take in that operators changed what a rank is promised."""
    return dataclasses.replace(line, terms=terms)


def note_turn(line: state.Line, now: float) -> state.Line:
    """Take in that a call's wait ends with its start."""
    interval_s = now - line.started_at
    before = line.interval_s or interval_s
    return dataclasses.replace(
        line,
        started_at=now,
        interval_s=before + _SMOOTHING * (interval_s - before),
    )


def _is_ready(line: state.Line, upload_fits: bool) -> bool:
    blocked = 0 if upload_fits else line.waiting_uploads
    return line.waiting > blocked


def upload_fits(gathering: state.Gathering) -> bool:
    """Tell whether one more streamed body may hold a slot."""
    return gathering.uploads < gathering.room.upload_slots


def expect_service(gathering: state.Gathering, now: float) -> float:
    """Expect how long a call takes that starts now, in seconds."""
    return service_times.expect_service(
        gathering.pace,
        running=gathering.running,
        slots=gathering.room.slots,
        now=now,
    )


def pick(gathering: state.Gathering, now: float) -> state.Line | None:
    """Choose the rank whose first call starts next.

    Calls in time go before overdue ones. Then ranks that are owed some of
    their floor go first, then all others; in either the most urgent, and
    of equals the worthiest.

    :returns: the line, None if nothing can start.
    """
    slots = gathering.room.slots
    if gathering.running >= slots or gathering.room.is_slow:
        return None
    fits = upload_fits(gathering)
    ready = [
        line for line in gathering.lines.values() if _is_ready(line, fits)
    ]
    if not ready:
        return None
    in_time = [
        line for line in ready if line.terms.name not in gathering.overdue
    ]
    ready = in_time or ready
    service_s = gathering.pace.service_s
    owed = [
        line for line in ready if find_credit(line, slots, service_s, now) > 0
    ]
    return min(owed or ready, key=_precedence)


def _precedence(line: state.Line) -> tuple[int, float]:
    return (line.terms.urgency, -line.terms.worth)


def expect_wait(
    ticket: state.Ticket, gathering: state.Gathering, now: float
) -> float:
    """Expect how long a call would wait that arrives now.

    The wait follows from the calls ahead and the service time, but no
    longer than its rank's floor makes it; and it is at least what the
    rank's calls were seen to take for their turn, since these times hold
    all that is not modelled.

    :returns: seconds.
    """
    own = gathering.lines[ticket.terms.name]
    ahead = [
        line
        for line in gathering.lines.values()
        if line.terms.urgency < ticket.terms.urgency or line is own
    ]
    if ticket.streamed:
        own_ahead = own.waiting_uploads
        in_front = sum(line.waiting_uploads for line in ahead)
        service_s = gathering.pace.upload_s
        slots = gathering.room.upload_slots
    else:
        own_ahead = own.waiting - own.waiting_uploads
        in_front = sum(line.waiting - line.waiting_uploads for line in ahead)
        service_s = expect_service(gathering, now)
        slots = gathering.room.slots - gathering.uploads
    modelled = (in_front + 1) * service_s / max(1, slots)
    share = ticket.terms.floor * slots
    if share > 0:
        modelled = min(modelled, (own_ahead + 1) * service_s / share)
    return max(modelled, own_ahead * own.interval_s)


def _keeps_queue_floor(line: state.Line, extra: int, limit: int) -> bool:
    return line.waiting + extra <= int(line.terms.floor * limit)


def find_shed(
    arriving: state.Line, lines: abc.Iterable[state.Line], limit: int
) -> state.Line | None:
    """Find the rank whose newest waiting call makes room for another.

    Each rank keeps its floor's share of the queue as well. Past that the
    least worthy goes first, and only for a worthier call, or for one that
    is within its rank's share.

    :returns: the line, None if the arriving call has to go.
    """
    protected = _keeps_queue_floor(arriving, 1, limit)
    spare = [
        line
        for line in lines
        if line.waiting
        and line.terms.name != arriving.terms.name
        and not _keeps_queue_floor(line, 0, limit)
        and (protected or line.terms.worth < arriving.terms.worth)
    ]
    return min(spare, key=lambda line: line.terms.worth, default=None)


def admit(
    ticket: state.Ticket, gathering: state.Gathering, now: float
) -> Admission:
    """Decide on a call that arrives.

    Nothing that could start is left waiting between two decisions, so a
    call for which there is a slot overtakes no one.

    :param now: monotonic time in seconds.
    """
    room = gathering.room
    if now >= ticket.deadline:
        return Admission(Decision.REFUSE_LATE)
    if room.is_slow and not ticket.patient:
        return Admission(Decision.REFUSE_SLOW)
    fits = not ticket.streamed or upload_fits(gathering)
    slots = room.slots if ticket.patient else room.ramped_slots
    if gathering.running < slots and fits and not room.is_slow:
        return Admission(Decision.RUN)
    if not ticket.patient:
        return Admission(Decision.REFUSE_BUSY)
    if expect_wait(ticket, gathering, now) > ticket.ends - now:
        return Admission(Decision.REFUSE_TARGET)
    if gathering.waiting < room.queue_limit:
        return Admission(Decision.WAIT)
    line = gathering.lines[ticket.terms.name]
    shed = find_shed(line, gathering.lines.values(), room.queue_limit)
    if shed is None:
        return Admission(Decision.REFUSE_FULL)
    return Admission(Decision.WAIT, shed.terms.name)


def check_start(ticket: state.Ticket, now: float) -> Decision:
    """Decide on a call that waited and whose turn has come."""
    if now >= ticket.deadline:
        return Decision.REFUSE_LATE
    return Decision.REFUSE_TARGET if now > ticket.ends else Decision.RUN
