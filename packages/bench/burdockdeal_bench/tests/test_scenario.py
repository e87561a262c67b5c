"""Tests of the loading and validation of scenarios."""

import pathlib

import pytest

from burdockdeal_bench import main
from burdockdeal_bench import scenario as scenarios
from burdockdeal_bench import testbed

_MINIMAL = """
{name: "mine", duration_s: 2, unloaded_s: 1,
 loads: [{work: "urgent", rate_per_s: 5}]}
"""


def _load_faulty_fields(text: str, folder: pathlib.Path) -> set[str]:
    path = folder / "mine.json5"
    path.write_text(text)
    with pytest.raises(scenarios.ScenarioError) as raised:
        scenarios.load(str(path))
    return {fault.field for fault in raised.value.faults}


@pytest.mark.parametrize("name", scenarios.list_names())
@pytest.mark.parametrize("deployment", scenarios.list_names("deployments"))
def test_packaged_scenarios_and_deployments_are_valid(
    name: str, deployment: str
) -> None:
    loaded = scenarios.load(name, deployment=deployment)
    assert loaded.deployment.name == deployment


def test_required_scenarios_are_packaged() -> None:
    assert set(scenarios.list_names()) >= {
        "steady",
        "sudden_slowdown",
        "liar",
        "fail_fast",
        "drain",
        "cold_start",
        "flood_least_urgent",
        "flood_most_urgent",
        "slow_uploads",
        "domain_cut",
        "deep_calls",
    }


def test_scenario_is_loaded_from_a_path(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "mine.json5"
    path.write_text(_MINIMAL)
    assert scenarios.load(str(path)).scenario.name == "mine"


def test_deployment_path_is_relative_to_the_scenario(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "field.json5").write_text(
        """{name: "field", link_ms: 1,
            places: [{name: "p1", failure_domain: "a", service: "s"}],
            services: [{name: "s"}],
            ranks: [{name: "r", spec: {urgency: 0, worth: 1,
                                       target_ms: 9}}],
            works: [{name: "urgent", service: "s", rank: "r"}]}"""
    )
    path = tmp_path / "mine.json5"
    path.write_text(
        _MINIMAL.replace("{name", '{deployment: "field.json5", name')
    )
    assert scenarios.load(str(path)).deployment.name == "field"


def test_every_violation_names_its_field(tmp_path: pathlib.Path) -> None:
    wrong = """{name: "Mine", duration_s: -2, unloaded_s: 1, colour: 3,
        loads: [{work: "urgent"}, {work: "urgent", rate_per_s: "many"}],
        events: [{at_s: 1, action: "EXPLODE"}]}"""
    assert _load_faulty_fields(wrong, tmp_path) == {
        "name",
        "duration_s",
        "colour",
        "loads[0].rate_per_s",
        "loads[1].rate_per_s",
        "events[0].action",
    }


def test_violations_between_fields(tmp_path: pathlib.Path) -> None:
    wrong = """{name: "mine", duration_s: 2, unloaded_s: 2,
        loads: [{work: "urgent", rate_per_s: 5, from_s: 1, to_s: 3}],
        events: [{at_s: 9, action: "SLOW", place: "p1"}]}"""
    assert _load_faulty_fields(wrong, tmp_path) == {
        "unloaded_s",
        "loads[0].to_s",
        "events[0].at_s",
        "events[0].value",
    }


def test_unknown_names_are_violations(tmp_path: pathlib.Path) -> None:
    wrong = """{name: "mine", duration_s: 2, unloaded_s: 1, cold: ["p99"],
        works: [{name: "odd", service: "none", rank: "none"}],
        loads: [{work: "none", rate_per_s: 5}],
        events: [{at_s: 1, action: "DRAIN", place: "p98"}]}"""
    assert _load_faulty_fields(wrong, tmp_path) == {
        "cold[0]",
        "works[7].service",
        "works[7].rank",
        "loads[0].work",
        "events[0].place",
    }


def test_missing_and_unparsable_files_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    assert _load_faulty_fields("{name:", tmp_path) == {""}
    with pytest.raises(scenarios.ScenarioError, match=r"known: .*steady"):
        scenarios.load("no-such-scenario")


def test_every_action_has_a_handler() -> None:
    assert set(testbed.ACTION_HANDLERS) == set(scenarios.Action)


def test_invalid_input_exits_with_2(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main.main(scenario="no-such-scenario") == main.EXIT_USAGE
    assert main.main(policy="no-such-policy") == main.EXIT_USAGE
    assert main.main(scenario="steady", check=True) == main.EXIT_OK
    assert "unknown policy" in capsys.readouterr().err
