"""One request's way through the daemons, read from their logs."""

from collections import abc
import dataclasses
import pathlib
import re

#: A line of a log: what a collector of logs put before it, and its pairs.
_LINE = re.compile(
    r"^(?P<before>.*?)\bat=(?P<at>\S+) level=\S+ (?P<pairs>.*)$"
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

#: What each reason means for the one who asks why a request failed.
_CAUSES = {
    "NO_RULE": "no rule of the configuration in force fits it",
    "NOT_CONFIGURED": "the daemon knew no configuration yet",
    "NO_INSTANCE": "no instance of the service was known",
    "SLOWED": "every instance that was asked was slow at that moment",
    "BUSY": "every instance that was asked had no slot at that moment",
    "FAILING": "the upstream broke its last connections unanswered",
    "BODY_TOO_LARGE": "its body is over the configuration's bound",
    "TARGET_MISSED": "it would have waited, or waited, too long for a slot",
    "QUEUE_FULL": "the queue beside the upstream was full",
    "SHED": "worthier work took its place in the queue",
    "OVERLOADED": "the entry had more work than it takes on",
    "DRAINING": "the upstream was leaving",
    "STALE_INSTANCE": "another instance had taken the upstream's place",
    "UNREACHABLE": "no connection to the instance came about",
    "UPSTREAM_REFUSED": "the upstream said that it did not run it",
    "TIMED_OUT": "the upstream did not answer within the deadline",
    "DEADLINE_PASSED": "its deadline passed before it could start",
    "BROKEN_CONNECTION": "the answer was lost with its connection",
    "FENCED": "the answer was lost, and its owner said it had not run",
}

_ENDS = ("request_answered", "request_refused", "caller_gone")


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One line about the request.

    :param daemon: whose log it is from.
    """

    at: str
    daemon: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        told = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name != "request_id"
        )
        return f"{self.at} {self.daemon} {self.event} {told}"


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The way of one request, in order, and why it ended as it did."""

    steps: tuple[Step, ...]
    cause: str


def read_step(line: str, daemon: str) -> Step | None:
    """Read a line of a log, None if it is none of ours.

    :param daemon: whose log it is, unless the line names one before.
    """
    found = _LINE.match(line)
    if found is None:
        return None
    pairs = {
        name: value.strip('"') for name, value in _PAIR.findall(found["pairs"])
    }
    named = found["before"].split()
    event = pairs.pop("event", "")
    return Step(found["at"], named[-1] if named else daemon, event, pairs)


def find_cause(steps: abc.Sequence[Step]) -> str:
    """Tell why a request ended as it did."""
    ends = [step for step in steps if step.event in _ENDS]
    if not steps:
        return "no line names this request: ask for the other daemons' logs"
    if not ends:
        return "no entry's line tells its end: ask for the entry's log"
    end = ends[-1]
    if end.event == "caller_gone":
        return "the caller went away before the answer"
    if end.event == "request_answered":
        return f"answered with {end.fields.get('status')}"
    reason = end.fields.get("reason", "")
    known = _CAUSES.get(reason, reason)
    verdict = end.fields.get("verdict")
    return f"{verdict}, {reason}: {known}"


def explain(request_id: str, paths: abc.Iterable[str]) -> Explanation:
    """Explain a request from the logs of some daemons.

    Daemons' clocks may differ; steps of one daemon stay in their order.

    :raises OSError: if a file can't be read.
    """
    steps = []
    for path in map(pathlib.Path, paths):
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if request_id not in line:
                    continue
                step = read_step(line, path.stem)
                if step and step.fields.get("request_id") == request_id:
                    steps.append(step)
    ordered = tuple(sorted(steps, key=lambda step: step.at))
    return Explanation(ordered, find_cause(ordered))
