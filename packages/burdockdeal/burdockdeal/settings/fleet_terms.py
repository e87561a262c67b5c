"""Terms of hedging, quotas and keys in the daemon's settings."""

import dataclasses
import typing

import msgspec

from burdockdeal.core import validation

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Hedging:
    """The limit on second sends that are made because a response is slow.

    :param share: second sends as a share of the first sends of idempotent
        calls, for each service.
    """

    share: typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ColdExcess:
    """By how much starts on a cold upstream may exceed its service's rate.

    :param factor: the factor by which the rate may be exceeded.
    :param slack: starts in any second that may come on top of that.
    """

    factor: typing.Annotated[float, msgspec.Meta(ge=1)] = 1.0
    slack: NonNegative = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How closely the fleet keeps the quotas of workspaces.

    In any window, the fleet may run what a quota allows, and on top of that a
    share of it and a fixed number of requests.

    :param window_s: the window over which requests are counted, in seconds.
    :param over_share: the excess as a share of what the quota allows.
    :param slack: the excess in requests, whatever the quota.
    """

    window_s: validation.PositiveFloat = 5.0
    over_share: NonNegative = 0.1
    slack: NonNegative = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTerms:
    """How a daemon treats keys while it is out of touch with the store.

    :param fail_closed: whether it then refuses requests that need a key.
        Otherwise the keys that it knows remain valid.
    :param revoke_s: seconds within which a withdrawn key stops being valid,
        which a daemon that fails closed keeps also while out of touch.
    """

    fail_closed: bool = False
    revoke_s: validation.PositiveFloat = 5.0


DEFAULT_KEY_TERMS = KeyTerms()
