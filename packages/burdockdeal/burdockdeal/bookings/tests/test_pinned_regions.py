"""Calls with a key that another region's daemon holds."""

import contextlib
import types

import pytest

from burdockdeal.bookings import pinning
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model


async def test_no_body_goes_to_a_region_that_is_not_allowed() -> None:
    """The holder alone knows whether the call ran, so NOT_RUN is no answer."""
    address = model.Address("10.0.0.1", 80)
    holder = membership.Member("d1", "a", "south", address, 1)
    opened: list[membership.Member | None] = []

    @contextlib.asynccontextmanager
    async def open_send(pin=None):
        opened.append(pin)
        yield "answer"

    resolver = pinning.PinResolver("x" * 16, lambda name: holder, None)
    resolver.find_issued_key_holder = lambda work: holder
    dispatch = pinning.make_dispatcher(
        lambda work, outbound: types.SimpleNamespace(open=open_send), resolver
    )
    work = call.Call("r", "orders", "p1", 1e9, idempotency_key="k")
    async with dispatch(work, None) as response:
        assert response == "answer"
    limited = call.Call(
        "r",
        "orders",
        "p1",
        1e9,
        idempotency_key="k",
        regions=frozenset({"north"}),
    )
    with pytest.raises(errors.MayHaveRunError) as caught:
        async with dispatch(limited, None):
            pass
    assert caught.value.reason is verdict.Reason.NO_REGION
    assert opened == [holder]
