"""Reloading of settings while the daemon runs."""

import pathlib

import pytest

from burdockdeal.settings import model
from burdockdeal.settings import reload
from burdockdeal_standins import clocks

TEXT = """{
  daemon: "d1", failure_domain: "here", store: "127.0.0.1:1",
  listen: {caller: "127.0.0.1:2", peer: "127.0.0.1:3",
           upstream: "127.0.0.1:4", operator: "127.0.0.1:5"},
  peer_token: "sixteen-characters",
  deployment: {service: "s", upstream: "127.0.0.1:6",
               metrics: "127.0.0.1:7"},
  limits: {caller_idle_s: %s}, region: "%s",
}"""


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    settings_file = tmp_path / "d1.json5"
    settings_file.write_text(TEXT % (15, "a"))
    return settings_file


def build_reloader(
    path: pathlib.Path, clock: clocks.Clock, applied: list[model.Settings]
) -> reload.Reloader:
    settings = reload.loader.load(path)
    return reload.Reloader(
        reload.SettingsFile(str(path)), settings, applied.append, clock
    )


def test_a_changed_file_is_reloaded_without_a_signal(
    path: pathlib.Path,
) -> None:
    clock, applied = clocks.Clock(0.0), []
    reloader = build_reloader(path, clock, applied)
    path.write_text(TEXT % (5, "a"))
    reloader.poll()
    assert not applied
    clock.now = reload.POLL_INTERVAL_S
    reloader.poll()
    assert applied[0].limits.caller_idle_s == 5


def test_an_invalid_or_missing_file_changes_nothing(
    path: pathlib.Path,
) -> None:
    clock, applied = clocks.Clock(0.0), []
    reloader = build_reloader(path, clock, applied)
    path.write_text("{daemon: 1")
    reloader.reload()
    path.unlink()
    reloader.reload()
    assert not applied


def test_settings_that_require_a_restart_are_not_applied(
    path: pathlib.Path,
) -> None:
    applied: list[model.Settings] = []
    reloader = build_reloader(path, clocks.Clock(0.0), applied)
    path.write_text(TEXT % (7, "b"))
    reloader.reload()
    assert applied[0].region == "a"
    assert applied[0].limits.caller_idle_s == 7
