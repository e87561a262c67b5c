"""Noticing that the settings file has changed."""

from collections import abc
import dataclasses
import pathlib

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.settings import loader
from burdockdeal.settings import model

#: Seconds between two looks at the file, without a signal.
POLL_INTERVAL_S = 1.0

#: Settings that a running daemon takes over; the others need a start. Of
#: the limits, the idle time of callers' connections counts at once.
RELOADABLE_FIELDS = frozenset({"limits", "fleet_retries"})


def find_changed_fields(
    before: model.Settings, after: model.Settings
) -> tuple[str, ...]:
    """Name the fields that differ."""
    return tuple(
        field.name
        for field in dataclasses.fields(model.Settings)
        if getattr(before, field.name) != getattr(after, field.name)
    )


def merge_reloadable(
    before: model.Settings, after: model.Settings
) -> model.Settings:
    """Make the settings that a running daemon goes on with."""
    live = {name: getattr(after, name) for name in RELOADABLE_FIELDS}
    return dataclasses.replace(before, **live)


class Reloader:
    """Reads the settings file again when it changes.

    :param path: the file.
    :param settings: what was read from it at the start.
    :param apply: called with settings that differ.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        path: str,
        settings: model.Settings,
        apply: abc.Callable[[model.Settings], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._path = pathlib.Path(path)
        self._settings = settings
        self._apply = apply
        self._clock = clock
        self._looked_at = clock()
        self._text = self._read()

    def poll(self) -> None:
        """Look at the file, if it is time."""
        now = self._clock()
        if now - self._looked_at < POLL_INTERVAL_S:
            return
        self._looked_at = now
        text = self._read()
        if text and text != self._text:
            self._text = text
            self.reload()

    def reload(self) -> None:
        """Read the file; settings that are wrong change nothing."""
        try:
            read = loader.load(self._path)
        except errors.SettingsError as error:
            event_log.warn("settings_unusable", error=error)
            return
        changed = find_changed_fields(self._settings, read)
        event_log.record(
            "settings_reloaded",
            changed=",".join(changed),
            needs_start=",".join(
                name for name in changed if name not in RELOADABLE_FIELDS
            ),
        )
        self._settings = merge_reloadable(self._settings, read)
        self._apply(self._settings)

    def _read(self) -> str:
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            event_log.warn("settings_unreadable", error=error)
            return ""
