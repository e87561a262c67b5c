"""The path of one request through the daemons, read from their logs."""

from collections import abc
import dataclasses
import pathlib
import re

#: A log line: any prefix that a log collector has added, then key-value pairs.
_LINE = re.compile(
    r"^(?P<prefix>.*?)\bat=(?P<at>\S+) level=\S+ (?P<pairs>.*)$"
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

#: The explanation of each reason for which a request can fail.
_CAUSE_BY_REASON = {
    "NO_RULE": "no rule of the active configuration matches the request",
    "NOT_CONFIGURED": "the daemon had received no configuration yet",
    "NO_INSTANCE": "no instance of the service was known",
    "SLOWED": "every instance that was tried was slow at that moment",
    "BUSY": "no instance that was tried had a free slot at that moment",
    "FAILING": "the upstream closed its last connections without a response",
    "BODY_TOO_LARGE": "the body is larger than the configuration allows",
    "TARGET_MISSED": "the wait for a slot was, or would have been, too long",
    "QUEUE_FULL": "the queue beside the upstream was full",
    "SHED": "a request of higher worth took its place in the queue",
    "OVERLOADED": "the entry daemon was overloaded",
    "DRAINING": "the upstream was draining",
    "STALE_INSTANCE": "another instance had replaced the upstream",
    "UNREACHABLE": "no connection to the instance could be established",
    "UPSTREAM_REFUSED": "the upstream reported that it did not run it",
    "TIMED_OUT": "the upstream did not answer within the deadline",
    "DEADLINE_PASSED": "the deadline passed before the request could start",
    "BROKEN_CONNECTION": "the connection broke before the response ended",
    "FENCED": "the response was lost; the owner said it had not run",
}

_FINAL_EVENTS = (
    "request_answered",
    "request_refused",
    "response_truncated",
    "request_cancelled",
    "caller_gone",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One log line about the request.

    :param at: time of the line, as logged.
    :param daemon: name of the daemon that logged it.
    :param event: name of the event.
    :param fields: the other key-value pairs of the line.
    """

    at: str
    daemon: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        pairs = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name != "request_id"
        )
        return f"{self.at} {self.daemon} {self.event} {pairs}"


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of one request, by time, and the cause of its outcome."""

    steps: tuple[Step, ...]
    cause: str


def parse_step(line: str, daemon: str) -> Step | None:
    """Parse a log line, None if it is not a daemon's.

    :param daemon: the daemon's name, unless the prefix of the line ends
        with one.
    """
    found = _LINE.match(line)
    if found is None:
        return None
    pairs = {
        name: value.strip('"') for name, value in _PAIR.findall(found["pairs"])
    }
    prefix_words = found["prefix"].split()
    event = pairs.pop("event", "")
    return Step(
        found["at"], prefix_words[-1] if prefix_words else daemon, event, pairs
    )


def find_cause(steps: abc.Sequence[Step]) -> str:
    """Explain the outcome of a request by its last final event."""
    final_steps = [step for step in steps if step.event in _FINAL_EVENTS]
    if not steps:
        return "no line names this request: add the logs of the other daemons"
    if not final_steps:
        return "no line reports its outcome: add the log of the entry daemon"
    last = final_steps[-1]
    if last.event == "caller_gone":
        return "the caller disconnected before the response"
    if last.event == "response_truncated":
        return f"the response broke off: {last.fields.get('reason')}"
    if last.event == "request_cancelled":
        return f"cancelled by the daemon: {last.fields.get('cause')}"
    if last.event == "request_answered":
        return f"answered with {last.fields.get('status')}"
    reason = last.fields.get("reason", "")
    cause = _CAUSE_BY_REASON.get(reason, reason)
    verdict = last.fields.get("verdict")
    return f"{verdict}, {reason}: {cause}"


def explain(request_id: str, paths: abc.Iterable[str]) -> Explanation:
    """Explain the outcome of a request from the logs of daemons.

    Steps are sorted by time. The clocks of daemons may differ, so only the
    order of the steps of one daemon is certain.

    :param paths: log files; the base name names the daemon where the lines
        do not.
    :raises OSError: if a file can't be read.
    """
    steps = []
    for path in map(pathlib.Path, paths):
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if request_id not in line:
                    continue
                step = parse_step(line, path.stem)
                if step and step.fields.get("request_id") == request_id:
                    steps.append(step)
    ordered = tuple(sorted(steps, key=lambda step: step.at))
    return Explanation(ordered, find_cause(ordered))
