"""Scenarios: the load and the injected faults of a run, read from JSON5."""

from collections import abc
import dataclasses
import enum
import pathlib
import typing

import json5

from burdockdeal.core import errors
from burdockdeal.core import validation
from burdockdeal_bench import deployment as deployments

_PACKAGE_DIR = pathlib.Path(__file__).parent
_SUFFIX = ".json5"

T = typing.TypeVar("T")


class ScenarioError(errors.ValidationError):
    """A scenario or deployment file is invalid."""


class Action(enum.StrEnum):
    """What an event does; see docs/SCENARIOS.md."""

    SLOW = "SLOW"
    FAIL_FAST = "FAIL_FAST"
    LIE = "LIE"
    HANG = "HANG"
    TRUNCATE = "TRUNCATE"
    SILENCE = "SILENCE"
    DRAIN = "DRAIN"
    RECOVER = "RECOVER"
    START_UPSTREAM = "START_UPSTREAM"
    KILL_UPSTREAM = "KILL_UPSTREAM"
    KILL_DAEMON = "KILL_DAEMON"
    TERMINATE_DAEMON = "TERMINATE_DAEMON"
    START_DAEMON = "START_DAEMON"
    STOP_DAEMON = "STOP_DAEMON"
    CONTINUE_DAEMON = "CONTINUE_DAEMON"
    STOP_UPSTREAM = "STOP_UPSTREAM"
    CONTINUE_UPSTREAM = "CONTINUE_UPSTREAM"
    CUT_DOMAIN = "CUT_DOMAIN"
    SWALLOW_DOMAIN = "SWALLOW_DOMAIN"
    DELAY_DOMAIN = "DELAY_DOMAIN"
    HEAL_DOMAIN = "HEAL_DOMAIN"
    STORE_OUTAGE = "STORE_OUTAGE"
    STORE_DELAY = "STORE_DELAY"
    STORE_LOSE_ANSWERS = "STORE_LOSE_ANSWERS"
    STORE_RECOVER = "STORE_RECOVER"


#: The unit of an event's value, for the actions that need one.
VALUE_UNITS: dict[Action, str] = {
    Action.SLOW: "times the service time",
    Action.DELAY_DOMAIN: "milliseconds one way",
    Action.STORE_DELAY: "milliseconds a call",
    Action.STORE_LOSE_ANSWERS: "writes",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests of one kind of work, with Poisson arrivals.

    :param work: name of the kind of work.
    :param rate_per_s: mean number of requests per second.
    :param from_s: seconds from the start of the run.
    :param to_s: seconds from the start, None for the end of the run.
    """

    work: validation.Name
    rate_per_s: validation.PositiveFloat
    from_s: deployments.NonNegativeFloat = 0.0
    to_s: validation.PositiveFloat | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A fault or change that is injected during the run.

    :param at_s: seconds from the start of the run.
    :param place: name of the place; the DOMAIN actions apply to its
        failure domain, the STORE actions ignore it.
    :param value: in the unit that VALUE_UNITS gives.
    """

    at_s: deployments.NonNegativeFloat
    action: Action
    place: str = ""
    value: deployments.NonNegativeFloat = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The load and the events of a run.

    :param duration_s: seconds during which requests are sent.
    :param unloaded_s: length of the unloaded phase at the start, in
        seconds; the report compares the rest with it.
    :param about: description for readers.
    :param deployment: name of a deployment of this package, or a file
        relative to this one.
    :param own_deployment: an inline deployment, used instead of a name.
    :param works: kinds of work added to those of the deployment.
    :param cold: names of places whose upstream stays stopped until a
        START_UPSTREAM event; they replace those of the deployment.
    """

    name: validation.Name
    duration_s: validation.PositiveFloat
    unloaded_s: validation.PositiveFloat
    loads: tuple[Load, ...]
    about: str = ""
    deployment: str = "hinge"
    own_deployment: deployments.Deployment | None = None
    events: tuple[Event, ...] = ()
    works: tuple[deployments.Work, ...] = ()
    cold: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """A scenario and its deployment, both validated."""

    scenario: Scenario
    deployment: deployments.Deployment


def _parse(
    kind: type[T],
    text: str,
    subject: str,
    find_faults: abc.Callable[[T], tuple[errors.FieldViolation, ...]],
) -> T:
    try:
        raw = json5.loads(text)
    except ValueError as error:
        violation = errors.FieldViolation("", f"not valid JSON5: {error}")
        raise ScenarioError(subject, (violation,)) from error
    value, faults = validation.validate(kind, raw)
    if value is not None:
        faults = find_faults(value)
    if value is None or faults:
        raise ScenarioError(subject, faults)
    return value


def _read(
    name: str, folder: str, relative_to: pathlib.Path
) -> tuple[str, str]:
    """Read a file of this package by name, or any file by path.

    :returns: its text and path.
    :raises ScenarioError: if it can't be read.
    """
    path = _PACKAGE_DIR / folder / f"{name}{_SUFFIX}"
    if not path.is_file():
        path = relative_to / name
    try:
        return path.read_text(encoding="utf-8"), str(path)
    except (OSError, UnicodeDecodeError) as error:
        known = ", ".join(list_names(folder))
        violation = errors.FieldViolation(
            "", f"can't be read ({error.__class__.__name__}); known: {known}"
        )
        raise ScenarioError(name, (violation,)) from error


def list_names(folder: str = "scenarios") -> tuple[str, ...]:
    """List the names of the files in a folder of this package."""
    paths = (_PACKAGE_DIR / folder).glob(f"*{_SUFFIX}")
    return tuple(sorted(path.stem for path in paths))


def _find_time_faults(
    scenario: Scenario,
) -> abc.Iterator[errors.FieldViolation]:
    if scenario.unloaded_s >= scenario.duration_s:
        yield errors.FieldViolation(
            "unloaded_s", "must be less than duration_s"
        )
    if not scenario.loads:
        yield errors.FieldViolation("loads", "must have at least one item")
    for index, load in enumerate(scenario.loads):
        end = load.to_s or scenario.duration_s
        if not load.from_s < end <= scenario.duration_s:
            yield errors.FieldViolation(
                f"loads[{index}].to_s",
                "must be above from_s and at most duration_s",
            )
    for index, event in enumerate(scenario.events):
        if event.at_s > scenario.duration_s:
            yield errors.FieldViolation(
                f"events[{index}].at_s", "must be at most duration_s"
            )
        if event.action in VALUE_UNITS and not event.value:
            unit = VALUE_UNITS[event.action]
            yield errors.FieldViolation(
                f"events[{index}].value", f"is required, in {unit}"
            )


def _find_name_faults(
    scenario: Scenario, deployment: deployments.Deployment
) -> abc.Iterator[errors.FieldViolation]:
    works = {work.name for work in deployment.works}
    places = {place.name for place in deployment.places}
    for index, load in enumerate(scenario.loads):
        if load.work not in works:
            known = ", ".join(sorted(works))
            yield errors.FieldViolation(
                f"loads[{index}].work",
                f"unknown work {load.work}; known: {known}",
            )
    for index, event in enumerate(scenario.events):
        targets_store = event.action.startswith("STORE")
        if not targets_store and event.place not in places:
            known = ", ".join(sorted(places))
            yield errors.FieldViolation(
                f"events[{index}].place",
                f"unknown place {event.place!r}; known: {known}",
            )
    for index, name in enumerate(scenario.cold):
        if name not in places:
            yield errors.FieldViolation(
                f"cold[{index}]", f"unknown place {name}"
            )


def find_faults(scenario: Scenario) -> tuple[errors.FieldViolation, ...]:
    """Check what spans several fields: times, and values of events."""
    return tuple(_find_time_faults(scenario))


def _apply_to_deployment(
    scenario: Scenario, base: deployments.Deployment
) -> deployments.Deployment:
    return dataclasses.replace(
        base,
        works=base.works + scenario.works,
        places=tuple(
            dataclasses.replace(place, cold=place.name in scenario.cold)
            if scenario.cold
            else place
            for place in base.places
        ),
    )


def load(name: str, *, deployment: str = "") -> Experiment:
    """Load a scenario and its deployment.

    :param name: name of a scenario of this package, or a path.
    :param deployment: replaces the one that the file names, if given.
    :raises ScenarioError: with every violation and its field.
    """
    text, path = _read(name, "scenarios", pathlib.Path())
    scenario = _parse(Scenario, text, path, find_faults)
    base = None if deployment else scenario.own_deployment
    if base is None:
        relative_to = (
            pathlib.Path() if deployment else pathlib.Path(path).parent
        )
        text, source = _read(
            deployment or scenario.deployment, "deployments", relative_to
        )
        base = _parse(
            deployments.Deployment, text, source, deployments.find_faults
        )
    combined = _apply_to_deployment(scenario, base)
    faults = deployments.find_faults(combined) + tuple(
        _find_name_faults(scenario, combined)
    )
    if faults:
        raise ScenarioError(path, faults)
    return Experiment(scenario, combined)
