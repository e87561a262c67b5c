"""Which services slow down when they are nearly full, kept in the store.

What the owners of a service have learned is lost when all of them restart at
once, just when the calls that piled up fill every upstream. One daemon of the
fleet keeps the names of such services in the store; a daemon that starts reads
them with the contacts, so that they cost it no call.
"""

from collections import abc
import dataclasses
import random

import mode

from burdockdeal.admission import saturation
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions as platform_decisions
from burdockdeal.platform import messages as platform_messages
from burdockdeal.platform import store

#: Seconds between two comparisons of what is known with what is stored, and
#: the minimum between two writes.
_REVIEW_INTERVAL_S = 1.0
_MIN_WRITE_INTERVAL_S = 5.0

#: The evidence on each service that this daemon has heard of.
ListEvidence = abc.Callable[[], abc.Mapping[str, saturation.Evidence]]


@dataclasses.dataclass(frozen=True, slots=True)
class Profiles:
    """The names of the services that slow down when nearly full, sorted."""

    saturating: tuple[str, ...] = ()


def update_profiles(
    known: Profiles, evidence: abc.Mapping[str, saturation.Evidence]
) -> Profiles:
    """Return the profiles after what the owners have seen.

    A service without enough evidence stays as it is.
    """
    names = set(known.saturating)
    for service, seen in evidence.items():
        if saturation.shows_saturation(seen):
            names.add(service)
        elif seen.calls >= saturation.MIN_CROWDED_CALLS:
            names.discard(service)
    return Profiles(tuple(sorted(names)))


class SaturationProfiles(mode.Service):
    """Holds the profiles, and keeps those in the store up to date.

    :param key: the key in the store.
    :param platform: the client of the store.
    :param list_evidence: lists what this daemon has heard of each service.
    :param is_writer: returns whether this daemon writes for the fleet.
    :param rng: spreads the writes after a restore of the store.
    """

    def __init__(
        self,
        key: str,
        platform: store.StoreClient,
        list_evidence: ListEvidence,
        is_writer: abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._key = key
        self._store = platform
        self._list_evidence = list_evidence
        self._is_writer = is_writer
        self._known = Profiles()
        self._version = platform_messages.ABSENT
        self._rng = rng
        #: Whether the store was restored from an old copy, which may lack
        #: what was written since.
        self._needs_rewrite = False
        platform.on_new_era(self._expect_loss)

    def _expect_loss(self, era: int) -> None:
        self._needs_rewrite = True

    def is_saturating(self, service: str) -> bool:
        """Return whether a service is known to slow down."""
        return service in self._known.saturating

    def apply_listing(self, listing: platform_messages.Listing) -> None:
        """Take over the profiles that a listing of the store contains."""
        self._version = platform_messages.Version(listing.version.era, 0)
        for entry in listing.entries:
            if entry.key == self._key:
                self._apply(entry)

    def _apply(self, entry: platform_messages.Entry) -> None:
        try:
            self._known = codec.decode(entry.value, Profiles)
        except codec.MalformedError as error:
            event_log.warn("profiles_unreadable", error=error)
        self._version = entry.version

    @mode.Service.task
    async def _review_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(_REVIEW_INTERVAL_S)
            if not self._is_writer():
                continue
            try:
                if self._needs_rewrite:
                    spread_s = platform_decisions.REWRITE_SPREAD_S
                    await self.sleep(self._rng.uniform(0, spread_s))
                    await self.rewrite()
                has_written = await self.review()
            except errors.PlatformError as error:
                event_log.debug("profiles_not_written", error=error)
                has_written = True
            if has_written:
                await self.sleep(_MIN_WRITE_INTERVAL_S)

    async def rewrite(self) -> None:
        """Write what is known again if a restored store lacks it."""
        self._needs_rewrite = False
        try:
            entry = await self._store.get(self._key)
            version = entry.version if entry else self._store.absent_version
            value = codec.encode(self._known).decode()
            if self._known != Profiles() and (
                entry is None or entry.value != value
            ):
                version = await self._store.put(
                    self._key, value, version=version
                )
                event_log.record("records_rewritten", kind="profiles")
        except errors.PlatformError:
            self._needs_rewrite = True
            raise
        self._version = version

    async def review(self) -> bool:
        """Write the profiles if what is known has changed.

        :returns: whether the store was called.
        """
        updated = update_profiles(self._known, self._list_evidence())
        if updated == self._known:
            return False
        try:
            self._version = await self._store.put(
                self._key,
                codec.encode(updated).decode(),
                version=self._version,
            )
            self._known = updated
            event_log.record(
                "profiles_written", saturating=",".join(updated.saturating)
            )
        except errors.StoreConflictError:
            entry = await self._store.get(self._key)
            if entry is None:
                self._version = self._store.absent_version
            else:
                self._apply(entry)
        return True
