"""Messages that carry an order, with fields that are missing or retyped.

What such a message says is applied only once it is decoded as a whole, so one
that is not valid must not decode at all.
"""

import copy
import dataclasses
import json
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from burdockdeal.announce import messages as announce
from burdockdeal.bookings import messages as bookings
from burdockdeal.configuration import messages as configuration
from burdockdeal.core import codec
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.evacuation import messages as evacuation
from burdockdeal.membership import messages as membership
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model

_PEER = model.Address("10.0.0.1", 80)
_MEMBER = membership.Member("d1", "a", "r", _PEER, 7, serial=3)
_CHANGE = configuration.Change(
    4,
    "c1",
    "o1",
    5,
    configuration.Action.PUT,
    "Rule",
    "x",
    3,
    msgspec.Raw(b"{}"),
)

#: Messages as objects, which name their fields.
_NAMED = (
    announce.Announce("bookings", "10.0.0.1", 80, 7),
    announce.Heartbeat(7, 1.0),
    announce.Drain(7),
    bookings.Fence("r1", 1, 7, 1.0),
    configuration.Changes((_CHANGE,), 4),
    configuration.Part(4, 0, 1, ()),
    configuration.Spread("", "", (), _PEER, 4, 50.0, (_CHANGE,)),
)

#: Messages as arrays, whose fields have positions.
_COMPACT = (
    membership.Ping(
        _MEMBER,
        4,
        (_MEMBER,),
        (membership.Claim("d2", 7, 3, membership.Health.DEAD),),
        evacuation.EvacuatedDomains(("a",), 4, 1),
    ),
    membership.Page((_MEMBER,), 3),
    serving.OwnerReport(
        verdict.Verdict.RAN, load_report.LoadReport(1, 2, 3), incarnation=7
    ),
)

_ODD_VALUES = (None, True, "odd", 1.5, [], {}, [1], {"a": 1})

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def _fits(value: object, odd: object) -> bool:
    """Return whether a value may have the type of another one in JSON."""
    if isinstance(value, bool) or isinstance(odd, bool):
        return type(value) is type(odd)
    if isinstance(value, float):
        return isinstance(odd, int | float)
    if isinstance(value, list):
        # An empty list fits, too.
        return odd == []
    return type(value) is type(odd)


def _odd_values(value: object) -> strategies.SearchStrategy[object]:
    return strategies.sampled_from(
        [odd for odd in _ODD_VALUES if not _fits(value, odd)]
    )


def _list_nullable(message: object) -> list[str]:
    hints = typing.get_type_hints(type(message))
    return [
        name
        for name, hint in hints.items()
        if type(None) in typing.get_args(hint)
    ]


def _list_required(message: object) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(message)
        if field.default is dataclasses.MISSING
    ]


@pytest.mark.parametrize(
    "message", _NAMED, ids=lambda each: type(each).__name__
)
@_SETTINGS
@hypothesis.given(data=strategies.data())
def test_an_odd_object_does_not_decode(
    message: object, data: strategies.DataObject
) -> None:
    valid = json.loads(codec.encode(message))
    odd = {**valid, "added": data.draw(strategies.booleans())}
    assert codec.decode(json.dumps(odd), type(message)) == message
    if data.draw(strategies.booleans()):
        del odd[data.draw(strategies.sampled_from(_list_required(message)))]
    else:
        name = data.draw(strategies.sampled_from(sorted(valid)))
        hypothesis.assume(valid[name] is not None)
        odd[name] = data.draw(_odd_values(valid[name]))
        hypothesis.assume(
            odd[name] is not None or name not in _list_nullable(message)
        )
    with pytest.raises(codec.MalformedError):
        codec.decode(json.dumps(odd), type(message))


def _list_places(
    value: typing.Any, place: tuple[int, ...] = ()
) -> list[tuple[int, ...]]:
    """List the places of all values within nested arrays."""
    if not isinstance(value, list):
        return [place]
    inner = [
        found
        for index, each in enumerate(value)
        for found in _list_places(each, (*place, index))
    ]
    return [*inner, place] if place else inner


@pytest.mark.parametrize(
    "message", _COMPACT, ids=lambda each: type(each).__name__
)
@_SETTINGS
@hypothesis.given(data=strategies.data())
def test_an_odd_array_does_not_decode(
    message: object, data: strategies.DataObject
) -> None:
    valid = json.loads(codec.encode_compact(message))
    odd = [*copy.deepcopy(valid), data.draw(strategies.booleans())]
    assert codec.decode_compact(json.dumps(odd), type(message)) == message
    *path, last = data.draw(strategies.sampled_from(_list_places(valid)))
    target = odd
    for index in path:
        target = target[index]
    hypothesis.assume(target[last] is not None)
    target[last] = data.draw(_odd_values(target[last]))
    name = dataclasses.fields(message)[last].name if not path else ""
    hypothesis.assume(
        target[last] is not None or name not in _list_nullable(message)
    )
    with pytest.raises(codec.MalformedError):
        codec.decode_compact(json.dumps(odd), type(message))
