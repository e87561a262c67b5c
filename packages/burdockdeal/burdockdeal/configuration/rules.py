"""Matching of requests to rules."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import state

#: Find the rule for (method, path, host), None if there is none.
MatchRule = abc.Callable[[str, str, str], resources.Rule | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    """A rule in the table.

    :param position: its place in the order in which rules are tried.
    """

    position: int
    methods: frozenset[str]
    rule: resources.Rule

    def takes(self, method: str) -> bool:
        """Tell whether the rule is for a method."""
        return not self.methods or method in self.methods


#: The lines of each host and path prefix, the first to try first.
_Table = dict[tuple[str, str], list[_Line]]


def _build_table(ordered: abc.Iterable[resources.Rule]) -> _Table:
    table: _Table = {}
    for position, rule in enumerate(ordered):
        key = (rule.match.host.lower(), rule.match.path_prefix)
        line = _Line(position, frozenset(rule.match.methods), rule)
        table.setdefault(key, []).append(line)
    return table


def compile_rules(configuration: state.Configuration) -> MatchRule:
    """Compile the rules of a configuration.

    The cost of a match grows with the number of lengths that prefixes
    have, not with the number of rules.

    :returns: the matcher; the lowest order wins, then the longest prefix.
    """
    table = _build_table(
        sorted(
            (resource.spec for resource in configuration.of_kind("Rule")),
            key=lambda rule: (rule.order, -len(rule.match.path_prefix)),
        )
    )
    lengths = sorted({len(prefix) for _, prefix in table})

    def find(key: tuple[str, str], method: str) -> _Line | None:
        for line in table.get(key, ()):
            if line.takes(method):
                return line
        return None

    def match(method: str, path: str, host: str) -> resources.Rule | None:
        name = host.rsplit(":", 1)[0].lower()
        best: _Line | None = None
        for length in lengths:
            if length > len(path):
                break
            prefix = path[:length]
            for key in ((name, prefix), ("", prefix)):
                line = find(key, method)
                if line and (best is None or line.position < best.position):
                    best = line
        return best.rule if best else None

    return match
