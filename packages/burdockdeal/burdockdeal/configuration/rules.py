"""Matching of requests to rules."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import state

#: Find the rule for (method, path, host), None if there is none.
MatchRule = abc.Callable[[str, str, str], resources.Rule | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    prefix: str
    methods: frozenset[str]
    host: str
    rule: resources.Rule


def _compile_line(rule: resources.Rule) -> _Line:
    return _Line(
        prefix=rule.match.path_prefix,
        methods=frozenset(rule.match.methods),
        host=rule.match.host.lower(),
        rule=rule,
    )


def compile_rules(configuration: state.Configuration) -> MatchRule:
    """Compile the rules of a configuration.

    :returns: the matcher; the lowest order wins, then the longest prefix.
    """
    ordered = sorted(
        (resource.spec for resource in configuration.of_kind("Rule")),
        key=lambda rule: (rule.order, -len(rule.match.path_prefix)),
    )
    lines = tuple(_compile_line(rule) for rule in ordered)

    def match(method: str, path: str, host: str) -> resources.Rule | None:
        name = host.rsplit(":", 1)[0].lower()
        for line in lines:
            if (
                path.startswith(line.prefix)
                and (not line.methods or method in line.methods)
                and (not line.host or line.host == name)
            ):
                return line.rule
        return None

    return match
