"""Reloading of the settings file while the daemon runs."""

from collections import abc
import contextlib
import dataclasses
import pathlib

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.settings import loader
from burdockdeal.settings import model

#: Interval in seconds at which the file is checked for changes. A signal
#: triggers a reload at once.
POLL_INTERVAL_S = 1.0

#: Settings that a running daemon applies; the others require a restart. Of
#: the limits, the idle timeout of callers' connections takes effect at once.
RELOADABLE_FIELDS = frozenset({"limits", "fleet_retries"})


def find_changed_fields(
    before: model.Settings, after: model.Settings
) -> tuple[str, ...]:
    """Return the names of the settings that differ."""
    return tuple(
        field.name
        for field in dataclasses.fields(model.Settings)
        if getattr(before, field.name) != getattr(after, field.name)
    )


def merge_reloadable(
    before: model.Settings, after: model.Settings
) -> model.Settings:
    """Return the old settings with the reloadable fields of the new ones."""
    reloadable = {name: getattr(after, name) for name in RELOADABLE_FIELDS}
    return dataclasses.replace(before, **reloadable)


#: What reading a file raises if it can't be read as text.
_READ_ERRORS = (OSError, UnicodeDecodeError)


class SettingsFile:
    """The settings file, and what it contained when it was last read.

    It is read before the settings are loaded from it for the first time, so
    that no change is missed.

    :param path: the path of the file.
    """

    def __init__(self, path: str) -> None:
        self.path = pathlib.Path(path)
        self._text = ""
        with contextlib.suppress(*_READ_ERRORS):
            self._text = self._read()

    def has_changed(self) -> bool:
        """Read the file, and return whether it has other contents now."""
        try:
            text = self._read()
        except _READ_ERRORS as error:
            event_log.warn("settings_unreadable", error=error)
            return False
        if not text or text == self._text:
            return False
        self._text = text
        return True

    def _read(self) -> str:
        return self.path.read_text(encoding="utf-8")


class Reloader:
    """Reloads the settings file when its contents change.

    :param file: the settings file.
    :param settings: the settings that the daemon started with.
    :param apply: called with the new settings after each valid reload.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        file: SettingsFile,
        settings: model.Settings,
        apply: abc.Callable[[model.Settings], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._file = file
        self._settings = settings
        self._apply = apply
        self._clock = clock
        self._last_polled_at = clock()

    def poll(self) -> None:
        """Check the file for changes if the poll interval has passed."""
        now = self._clock()
        if now - self._last_polled_at < POLL_INTERVAL_S:
            return
        self._last_polled_at = now
        if self._file.has_changed():
            self.reload()

    def reload(self) -> None:
        """Load the file and apply it; an invalid file changes nothing."""
        try:
            loaded = loader.load(self._file.path)
        except errors.SettingsError as error:
            event_log.warn("settings_invalid", error=error)
            return
        changed = find_changed_fields(self._settings, loaded)
        event_log.record(
            "settings_reloaded",
            changed=",".join(changed),
            restart_required=",".join(
                name for name in changed if name not in RELOADABLE_FIELDS
            ),
        )
        self._settings = merge_reloadable(self._settings, loaded)
        self._apply(self._settings)
