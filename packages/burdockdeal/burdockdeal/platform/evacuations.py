"""The operator's evacuations in the platform's store."""

import msgspec

from burdockdeal.core import event_log
from burdockdeal.core import validation
from burdockdeal.evacuation import active
from burdockdeal.evacuation import messages as evacuation
from burdockdeal.platform import messages

#: Prefix of all keys that the operator writes.
OPERATOR_PREFIX = "op/"

#: Prefix of the keys of evacuated failure domains; a domain's name follows.
KEY_PREFIX = "op/evacuate/"

#: Maximum number of characters of a key in a log line.
_MAX_LOGGED = 100


def _is_name(text: str) -> bool:
    try:
        msgspec.convert(text, validation.ExternalName)
    except msgspec.ValidationError:
        return False
    return True


class EvacuationReader:
    """Finds the evacuated domains in listings of the operator's keys.

    :param evacuations: the evacuations that this daemon applies.
    """

    def __init__(self, evacuations: active.ActiveEvacuation) -> None:
        self._evacuations = evacuations
        self._ignored: frozenset[str] = frozenset()

    def apply_listing(self, listing: messages.Listing) -> None:
        """Apply the evacuations of a complete listing.

        A key with an invalid name is ignored, and logged when it is first
        seen.
        """
        names = {
            entry.key.removeprefix(KEY_PREFIX)
            for entry in listing.entries
            if entry.key.startswith(KEY_PREFIX)
        }
        invalid = frozenset(name for name in names if not _is_name(name))
        for name in sorted(invalid - self._ignored):
            event_log.warn(
                "evacuation_key_ignored",
                key=(KEY_PREFIX + name)[:_MAX_LOGGED],
            )
        self._ignored = invalid
        self._evacuations.apply(
            evacuation.EvacuatedDomains(
                tuple(sorted(names - invalid)),
                listing.version.revision,
                listing.version.era,
            ),
            source="store",
        )
