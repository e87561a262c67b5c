"""The matching of requests to rules."""

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


def _configure(made: list[resources.Rule]) -> state.Configuration:
    found = {}
    for number, rule in enumerate(made):
        key = state.Key("Rule", f"rule-{number:03d}")
        found[key] = resources.Resource(
            "Rule", key.name, number + 1, rule, "tests", 0
        )
    return state.Configuration(len(made), found)


def _search(
    made: list[resources.Rule], method: str, path: str, host: str
) -> resources.Rule | None:
    """Search the rules one by one, as the page on rules says it."""
    fitting = [
        rule
        for rule in made
        if path.startswith(rule.match.path_prefix)
        and (not rule.match.methods or method in rule.match.methods)
        and rule.match.host.lower() in ("", host.lower())
    ]
    return min(
        fitting,
        key=lambda rule: (rule.order, -len(rule.match.path_prefix)),
        default=None,
    )


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    made=strategies.lists(_RULES, max_size=12),
    method=strategies.sampled_from(_METHODS),
    path=_PATHS,
    host=_HOSTS,
)
def test_the_table_finds_what_a_search_finds(
    made: list[resources.Rule], method: str, path: str, host: str
) -> None:
    match = rules.compile_rules(_configure(made))
    assert match(method, path, f"{host}:80") is _search(
        made, method, path, host
    )


def test_one_of_many_rules_is_found() -> None:
    made = [
        resources.Rule("s", "r", resources.Match(f"/service-{n:04d}/"))
        for n in range(2_000)
    ]
    match = rules.compile_rules(_configure(made))
    assert match("GET", "/service-1999/x", "") is made[1999]
    assert match("GET", "/none/x", "") is None
