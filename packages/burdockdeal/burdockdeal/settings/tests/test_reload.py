"""Settings that change while the daemon runs."""

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
    file = tmp_path / "d1.json5"
    file.write_text(TEXT % (15, "a"))
    return file


def watch(
    path: pathlib.Path, clock: clocks.Clock, taken: list[model.Settings]
) -> reload.Reloader:
    settings = reload.loader.load(path)
    return reload.Reloader(str(path), settings, taken.append, clock)


def test_a_change_without_a_signal_is_taken_in(path: pathlib.Path) -> None:
    clock, taken = clocks.Clock(0.0), []
    watching = watch(path, clock, taken)
    path.write_text(TEXT % (5, "a"))
    watching.poll()
    assert not taken
    clock.now = reload.POLL_INTERVAL_S
    watching.poll()
    assert taken[0].limits.caller_idle_s == 5


def test_wrong_settings_change_nothing(path: pathlib.Path) -> None:
    clock, taken = clocks.Clock(0.0), []
    watching = watch(path, clock, taken)
    path.write_text("{daemon: 1")
    watching.reload()
    path.unlink()
    watching.reload()
    assert not taken


def test_what_needs_a_start_stays(path: pathlib.Path) -> None:
    taken: list[model.Settings] = []
    watching = watch(path, clocks.Clock(0.0), taken)
    path.write_text(TEXT % (7, "b"))
    watching.reload()
    assert taken[0].region == "a"
    assert taken[0].limits.caller_idle_s == 7
