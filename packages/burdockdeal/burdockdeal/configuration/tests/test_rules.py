"""Tests of matching requests to rules."""

import hypothesis
from hypothesis import strategies

from burdockdeal.configuration import resources
from burdockdeal.configuration import rules
from burdockdeal.configuration import state

_PATHS = strategies.text("/ab", max_size=4).map("/".__add__)
_HOSTS = strategies.sampled_from(["", "one.example", "Two.example"])
_METHODS = ("GET", "PUT")

_RULES = strategies.builds(
    resources.Rule,
    service=strategies.sampled_from(["s", "t", "u"]),
    rank=strategies.just("r"),
    match=strategies.builds(
        resources.Match,
        path_prefix=_PATHS,
        methods=strategies.sampled_from([(), ("GET",), ("PUT",)]),
        host=_HOSTS,
    ),
    order=strategies.integers(0, 2),
)


def _make_configuration(declared: list[resources.Rule]) -> state.Configuration:
    stored = {}
    for number, rule in enumerate(declared):
        key = state.Key("Rule", f"rule-{number:03d}")
        stored[key] = resources.Resource(
            "Rule", key.name, number + 1, rule, "tests", 0
        )
    return state.Configuration(len(declared), stored)


def _find_by_scan(
    declared: list[resources.Rule], method: str, path: str, host: str
) -> resources.Rule | None:
    """Find the rule by testing each one, as the documentation specifies."""
    matching = [
        rule
        for rule in declared
        if path.startswith(rule.match.path_prefix)
        and (not rule.match.methods or method in rule.match.methods)
        and rule.match.host.lower() in ("", host.lower())
    ]
    return min(
        matching,
        key=lambda rule: (rule.order, -len(rule.match.path_prefix)),
        default=None,
    )


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    declared=strategies.lists(_RULES, max_size=12),
    method=strategies.sampled_from(_METHODS),
    path=_PATHS,
    host=_HOSTS,
)
def test_compiled_rules_match_like_a_scan(
    declared: list[resources.Rule], method: str, path: str, host: str
) -> None:
    match = rules.compile_rules(_make_configuration(declared))
    assert match(method, path, f"{host}:80") is _find_by_scan(
        declared, method, path, host
    )


def test_finds_one_of_many_rules() -> None:
    declared = [
        resources.Rule("s", "r", resources.Match(f"/service-{n:04d}/"))
        for n in range(2_000)
    ]
    match = rules.compile_rules(_make_configuration(declared))
    assert match("GET", "/service-1999/x", "") is declared[1999]
    assert match("GET", "/none/x", "") is None
