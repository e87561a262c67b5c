"""The path by which a rule is chosen, and the target that is sent on.

A booking with an encoded slash in its path was matched in decoded form. It
was taken for a request that may be repeated, and ran twice.
"""

import types

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.configuration import resources
from burdockdeal.configuration import rules
from burdockdeal.configuration import state
from burdockdeal.core import errors
from burdockdeal.serving import forwarding
from burdockdeal.serving import targets

#: Pieces of paths, some of which are equal to others when they are decoded or
#: normalized.
_PIECES = (
    "book", "list", "/", "//", "%2F", "%2f", "%62ook", "l%69st", ";", "%3B",
    ".", "..", "%2E%2E", "%", "%25", "+", "%20", "%C3%A9", "%c3%a9", "a=1",
)  # fmt: skip

_PREFIXES = (
    "/", "/book/", "/book/list/", "/book%2Flist/", "/book/../", "/book//",
    "/book;/", "/b\u00e9/", "/b%C3%A9/", "/a b/", "/list/",
)  # fmt: skip

_PATHS = strategies.lists(
    strategies.sampled_from([*_PIECES, *_PREFIXES[:7]]), max_size=6
).map(lambda pieces: "/" + "".join(pieces))

_QUERIES = strategies.sampled_from(["", "?", "?a=%2F", "?/book/", "#", "#/?"])


def build_matcher(prefixes: list[str]) -> rules.MatchRule:
    specs = {
        state.Key("Rule", f"r{number}"): resources.Rule(
            service=f"s{number}",
            rank="r",
            match=resources.Match(prefix),
            idempotent=prefix == "/book/list/",
        )
        for number, prefix in enumerate(prefixes)
    }
    stored = {
        key: resources.Resource(key.kind, key.name, 1, spec, "", 0)
        for key, spec in specs.items()
    }
    return rules.compile_rules(
        state.Configuration(1, types.MappingProxyType(stored))
    )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(
    prefixes=strategies.lists(
        strategies.sampled_from(_PREFIXES), unique=True, max_size=8
    ),
    path=_PATHS,
    query=_QUERIES,
)
def test_the_rule_has_the_longest_prefix_of_what_is_sent_on(
    prefixes: list[str], path: str, query: str
) -> None:
    target = targets.parse_target(path + query)
    sent = forwarding.build_url("127.0.0.1:80", target.origin_form)
    assert sent.raw_path_qs == path + query
    rule = build_matcher(prefixes)("POST", target.path, "here")
    matching = [
        prefix
        for prefix in prefixes
        if sent.raw_path_qs.startswith(rules.encode_prefix(prefix))
    ]
    if rule is None:
        assert not matching
        return
    assert rule.match.path_prefix == max(
        matching, key=lambda prefix: len(rules.encode_prefix(prefix))
    )
    # What may run once is not taken for what may be repeated.
    assert not rule.idempotent or path.startswith("/book/list/")


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        ("/a?b=/c#d", targets.Target("/a?b=/c#d", "/a")),
        ("//a/b", targets.Target("//a/b", "//a/b")),
        ("http://h:1/a/b?c", targets.Target("/a/b?c", "/a/b", "h:1")),
        ("HTTPS://u:p@h/a", targets.Target("/a", "/a", "h")),
        ("http://h", targets.Target("/", "/", "h")),
        ("http://h?", targets.Target("/?", "/", "h")),
    ],
)
def test_a_target_is_sent_on_in_origin_form(
    raw: str, expected: targets.Target
) -> None:
    assert targets.parse_target(raw) == expected


@pytest.mark.parametrize("raw", ["", "*", "here:80", "http://", "ftp://h/"])
def test_a_target_without_a_path_is_refused(raw: str) -> None:
    with pytest.raises(errors.NotRunError):
        targets.parse_target(raw)
    assert targets.find_path(raw) == ""
