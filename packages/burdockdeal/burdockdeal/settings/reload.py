"""Reloading of the settings file while the daemon runs."""

from collections import abc
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


class Reloader:
    """Reloads the settings file when its contents change.

    :param path: the path of the settings file.
    :param settings: the settings that the daemon started with.
    :param apply: called with the new settings after each valid reload.
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
        self._last_polled_at = clock()
        self._text = self._read()

    def poll(self) -> None:
        """Check the file for changes if the poll interval has passed."""
        now = self._clock()
        if now - self._last_polled_at < POLL_INTERVAL_S:
            return
        self._last_polled_at = now
        text = self._read()
        if text and text != self._text:
            self._text = text
            self.reload()

    def reload(self) -> None:
        """Load the file and apply it; an invalid file changes nothing."""
        try:
            loaded = loader.load(self._path)
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

    def _read(self) -> str:
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            event_log.warn("settings_unreadable", error=error)
            return ""
