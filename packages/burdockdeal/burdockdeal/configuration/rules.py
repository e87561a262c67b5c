"""Matching requests to rules."""

from collections import abc
import dataclasses
import string
from urllib import parse

from burdockdeal.configuration import resources
from burdockdeal.configuration import state

#: Characters of a prefix that are not encoded.
_PATH_CHARACTERS = string.punctuation

#: Returns the rule for (method, path, host), None if none matches.
MatchRule = abc.Callable[[str, str, str], resources.Rule | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A rule in the lookup table.

    :param position: the precedence of the rule: the lowest position wins.
    :param methods: the methods that it matches, empty for all.
    """

    position: int
    methods: frozenset[str]
    rule: resources.Rule

    def accepts(self, method: str) -> bool:
        """Return whether the rule matches a method."""
        return not self.methods or method in self.methods


#: The entries for each (host, path prefix), in order of precedence.
_Table = dict[tuple[str, str], list[_Entry]]


def encode_prefix(prefix: str) -> str:
    """Encode a path prefix as it begins the paths of requests.

    Only what no path can contain is encoded (RFC 3987, section 3.1): an
    escape in a prefix matches the same escape and nothing else.
    """
    return parse.quote(prefix, safe=_PATH_CHARACTERS)


def _build_table(ordered: abc.Iterable[resources.Rule]) -> _Table:
    table: _Table = {}
    for position, rule in enumerate(ordered):
        prefix = encode_prefix(rule.match.path_prefix)
        key = (rule.match.host.lower(), prefix)
        entry = _Entry(position, frozenset(rule.match.methods), rule)
        table.setdefault(key, []).append(entry)
    return table


def compile_rules(configuration: state.Configuration) -> MatchRule:
    """Compile the rules of a configuration into a lookup function.

    The cost of a lookup grows with the number of different prefix lengths,
    not with the number of rules.

    :returns: the lookup function. Of the rules that match, the one with the
        lowest order wins, then the one with the longest path prefix.
    """
    table = _build_table(
        sorted(
            (resource.spec for resource in configuration.of_kind("Rule")),
            key=lambda rule: (
                rule.order,
                -len(encode_prefix(rule.match.path_prefix)),
            ),
        )
    )
    lengths = sorted({len(prefix) for _, prefix in table})

    def find(key: tuple[str, str], method: str) -> _Entry | None:
        for entry in table.get(key, ()):
            if entry.accepts(method):
                return entry
        return None

    def match(method: str, path: str, host: str) -> resources.Rule | None:
        hostname = host.rsplit(":", 1)[0].lower()
        best: _Entry | None = None
        for length in lengths:
            if length > len(path):
                break
            prefix = path[:length]
            for key in ((hostname, prefix), ("", prefix)):
                entry = find(key, method)
                if entry and (best is None or entry.position < best.position):
                    best = entry
        return best.rule if best else None

    return match
