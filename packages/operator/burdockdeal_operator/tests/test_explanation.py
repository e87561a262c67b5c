"""Explanations of requests from the logs of daemons."""

import pathlib

from burdockdeal.core import event_log
from burdockdeal_operator import explanation

ENTRY_LOG = """at=2026-01-01T00:00:01.000000Z level=INFO event=request_sent \
request_id=r1 service=orders instance=d2 attempt=1 remaining_ms=1500
at=2026-01-01T00:00:01.100000Z level=INFO event=request_answered \
request_id=r2 status=200
at=2026-01-01T00:00:02.500000Z level=INFO event=request_refused \
request_id=r1 verdict=MAY_HAVE_RUN reason=TIMED_OUT detail="timed out"
"""
OWNER_LOG = """12.5 d2 at=2026-01-01T00:00:01.010000Z level=INFO \
event=request_started request_id=r1 attempt=1 waited_ms=3.0 slowdown=5.0
half a line
"""


def write_logs(folder: pathlib.Path) -> list[str]:
    paths = [folder / "d1.log", folder / "all.log"]
    for path, text in zip(paths, (ENTRY_LOG, OWNER_LOG), strict=True):
        path.write_text(text)
    return list(map(str, paths))


def test_steps_of_several_daemons_are_sorted_by_time(
    tmp_path: pathlib.Path,
) -> None:
    explained = explanation.explain("r1", write_logs(tmp_path))
    assert [(step.daemon, step.event) for step in explained.steps] == [
        ("d1", "request_sent"),
        ("d2", "request_started"),
        ("d1", "request_refused"),
    ]
    assert "TIMED_OUT" in explained.cause
    assert "did not answer within the deadline" in explained.cause


def test_a_successful_and_an_unknown_request(tmp_path: pathlib.Path) -> None:
    paths = write_logs(tmp_path)
    assert explanation.explain("r2", paths).cause == "answered with 200"
    assert "no line" in explanation.explain("r3", paths).cause


def test_a_line_of_the_event_log_is_parsed() -> None:
    line = "at=x level=INFO " + event_log.format_event(
        "request_refused", request_id="r", detail="a b", reason="SHED"
    )
    step = explanation.parse_step(line, "d1")
    assert step.fields["detail"] == "a b"
    assert step.event == "request_refused"
