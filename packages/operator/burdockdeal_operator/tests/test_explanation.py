"""From a request's id to its cause."""

import pathlib

from burdockdeal.core import event_log
from burdockdeal_operator import explanation

ENTRY = """at=2026-01-01T00:00:01.000000Z level=INFO event=request_sent \
request_id=r1 service=orders instance=d2 attempt=1 remaining_ms=1500
at=2026-01-01T00:00:01.100000Z level=INFO event=request_answered \
request_id=r2 status=200
at=2026-01-01T00:00:02.500000Z level=INFO event=request_refused \
request_id=r1 verdict=MAY_HAVE_RUN reason=TIMED_OUT detail="timed out"
"""
OWNER = """12.5 d2 at=2026-01-01T00:00:01.010000Z level=INFO \
event=request_started request_id=r1 attempt=1 waited_ms=3.0 slowdown=5.0
half a line
"""


def write(folder: pathlib.Path) -> list[str]:
    paths = [folder / "d1.log", folder / "all.log"]
    for path, text in zip(paths, (ENTRY, OWNER), strict=True):
        path.write_text(text)
    return list(map(str, paths))


def test_a_way_across_daemons_in_order(tmp_path: pathlib.Path) -> None:
    told = explanation.explain("r1", write(tmp_path))
    assert [(step.daemon, step.event) for step in told.steps] == [
        ("d1", "request_sent"),
        ("d2", "request_started"),
        ("d1", "request_refused"),
    ]
    assert "TIMED_OUT" in told.cause
    assert "did not answer within the deadline" in told.cause


def test_an_answer_and_an_unknown_request(tmp_path: pathlib.Path) -> None:
    paths = write(tmp_path)
    assert explanation.explain("r2", paths).cause == "answered with 200"
    assert "no line" in explanation.explain("r3", paths).cause


def test_it_reads_what_the_journal_writes() -> None:
    line = "at=x level=INFO " + event_log.format_event(
        "request_refused", request_id="r", detail="a b", reason="SHED"
    )
    step = explanation.read_step(line, "d1")
    assert step.fields["detail"] == "a b"
    assert step.event == "request_refused"
