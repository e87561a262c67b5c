"""The specifications, explored whole, and what each decision is good for."""

import minicheck
import pytest

from burdockdeal.bookings import decisions
from burdockdeal.bookings import key_specification as keys
from burdockdeal.bookings import messages
from burdockdeal.bookings import send_specification
from burdockdeal.bookings import state
from burdockdeal.core import verdict


def explore(spec, rules) -> tuple[set[str], int]:
    """Explore a specification.

    :returns: the invariants that fail, and the number of states.
    """
    protocol = minicheck.Protocol(
        name="bookings",
        candidate=False,
        fields=("whole",),
        initial=(spec.State(),),
        transitions=lambda given: [
            (name, (after,)) for name, after in spec.steps(given[0], rules)
        ],
        invariants={
            name: (lambda given, holds=holds: holds(given["whole"]))
            for name, holds in spec.INVARIANTS.items()
        },
    )
    result = minicheck.check_safety(protocol, max_states=2_000_000)
    failed = {
        name
        for name, found in result["properties"].items()
        if not found["holds"]
    }
    assert result["exhaustive"]
    return failed, result["reachable_states"]


def start_without_clock(known, **given):
    return decisions.decide_start(known, **(given | {"now": 0.0}))


def start_without_incarnation(known, **given):
    given["same_incarnation"] = True
    return decisions.decide_start(known, **given)


def start_without_ledger(known, **given):
    return decisions.decide_start(None, **given)


def fate_without_incarnation(known, **given):
    given["same_incarnation"] = True
    return decisions.decide_fate(known, **given)


def fate_without_memory(known, **given):
    return decisions.decide_fate(known, **(given | {"now": 0.0}))


def resend_always(*args, **given) -> bool:
    return True


def test_sends_hold() -> None:
    failed, states = explore(send_specification, send_specification.Rules())
    print("sends:", states, "states")
    assert not failed
    assert states > 100


@pytest.mark.parametrize(
    ("rules", "broken"),
    [
        (
            send_specification.Rules(decide_start=start_without_clock),
            "not run is true for ever",
        ),
        (
            send_specification.Rules(decide_start=start_without_incarnation),
            "not run is true for ever",
        ),
        (
            send_specification.Rules(decide_start=start_without_ledger),
            "not run is true for ever",
        ),
        (
            send_specification.Rules(decide_fate=fate_without_incarnation),
            "not run is true for ever",
        ),
        (
            send_specification.Rules(decide_fate=fate_without_memory),
            "not run is true for ever",
        ),
        (send_specification.Rules(fences=False), "not run is true for ever"),
        (
            send_specification.Rules(may_resend=resend_always),
            "runs at most once",
        ),
    ],
)
def test_each_rule_of_sends_is_needed(
    rules: send_specification.Rules, broken: str
) -> None:
    failed, _ = explore(send_specification, rules)
    assert broken in failed


def test_an_answer_without_a_run_is_caught() -> None:
    wrong = send_specification.State(attempt=1, told=verdict.Verdict.RAN)
    assert not send_specification.INVARIANTS["ran is true"](wrong)


def test_keys_hold() -> None:
    failed, states = explore(keys, keys.Rules())
    print("keys:", states, "states")
    assert not failed
    assert states > 1000


def join_as_run(stage, *, same_request):
    step = decisions.decide_key_action(stage, same_request=same_request)
    return state.KeyAction.RUN if step is state.KeyAction.JOIN else step


def unsure_as_run(stage, *, same_request):
    step = decisions.decide_key_action(stage, same_request=same_request)
    return (
        state.KeyAction.RUN if step is state.KeyAction.REPORT_UNKNOWN else step
    )


def any_request(stage, *, same_request):
    return decisions.decide_key_action(stage, same_request=True)


def claim_without_incarnation(standing, *, own, claim_id):
    if standing is not None and standing.holder.daemon == own.daemon:
        return state.ClaimAction.RUN
    return decisions.decide_claim_action(standing, own=own, claim_id=claim_id)


def claim_without_memory(standing, *, own, claim_id):
    step = decisions.decide_claim_action(standing, own=own, claim_id=claim_id)
    unsure = step is state.ClaimAction.REPORT_UNKNOWN
    return state.ClaimAction.RUN if unsure else step


def run_without_store(standing, *, own, claim_id):
    step = decisions.decide_claim_action(standing, own=own, claim_id=claim_id)
    return state.ClaimAction.RUN if step is state.ClaimAction.REJECT else step


ONCE = "a key runs at most once"


@pytest.mark.parametrize(
    ("rules", "broken"),
    [
        (keys.Rules(decide_key_action=join_as_run), ONCE),
        (keys.Rules(decide_key_action=unsure_as_run), ONCE),
        (
            keys.Rules(decide_key_action=any_request),
            "an answer is to its own request",
        ),
        (keys.Rules(decide_claim_action=claim_without_incarnation), ONCE),
        (keys.Rules(decide_claim_action=claim_without_memory), ONCE),
        (keys.Rules(decide_claim_action=run_without_store), ONCE),
        (
            keys.Rules(reviews=False),
            "a resend is told not run only if nothing ran",
        ),
    ],
)
def test_each_rule_of_keys_is_needed(rules: keys.Rules, broken: str) -> None:
    failed, _ = explore(keys, rules)
    assert broken in failed


def test_claims() -> None:
    own, other = messages.Holder("a", 2), messages.Holder("a", 1)

    def decide(holder: messages.Holder | None, claim_id: str):
        claim = holder and messages.Claim(holder, claim_id)
        return decisions.decide_claim_action(claim, own=own, claim_id="mine")

    assert decide(None, "") is state.ClaimAction.REJECT
    assert decide(own, "mine") is state.ClaimAction.RUN
    assert decide(own, "older") is state.ClaimAction.REPORT_UNKNOWN
    assert decide(other, "older") is state.ClaimAction.REDIRECT
