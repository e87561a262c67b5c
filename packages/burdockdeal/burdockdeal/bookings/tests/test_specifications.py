"""Model checking of the state machines of at-most-once execution.

Every reachable state is explored with the production decisions, and once
more for each faulty variant of a decision, which must break an invariant.
"""

import minicheck
import pytest

from burdockdeal.bookings import decisions
from burdockdeal.bookings import key_specification
from burdockdeal.bookings import messages
from burdockdeal.bookings import send_specification
from burdockdeal.bookings import state
from burdockdeal.core import verdict


def explore(specification, rules) -> tuple[set[str], int]:
    """Explore all reachable states of a state machine.

    :returns: the invariants that do not hold, and the number of states.
    """
    protocol = minicheck.Protocol(
        name="bookings",
        candidate=False,
        fields=("system",),
        initial=(specification.State(),),
        transitions=lambda values: [
            (name, (after,))
            for name, after in specification.transitions(values[0], rules)
        ],
        invariants={
            name: (lambda values, holds=holds: holds(values["system"]))
            for name, holds in specification.INVARIANTS.items()
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


def start_ignoring_deadline(recorded, **arguments):
    return decisions.decide_start(recorded, **(arguments | {"now": 0.0}))


def start_ignoring_incarnation(recorded, **arguments):
    arguments["same_incarnation"] = True
    return decisions.decide_start(recorded, **arguments)


def start_ignoring_registry(recorded, **arguments):
    return decisions.decide_start(None, **arguments)


def fate_ignoring_incarnation(recorded, **arguments):
    arguments["same_incarnation"] = True
    return decisions.decide_fate(recorded, **arguments)


def fate_ignoring_retention(recorded, **arguments):
    return decisions.decide_fate(recorded, **(arguments | {"now": 0.0}))


def resend_always(*args, **arguments) -> bool:
    return True


def test_send_invariants_hold() -> None:
    failed, states = explore(send_specification, send_specification.Rules())
    print("sends:", states, "states")
    assert not failed
    assert states > 100


@pytest.mark.parametrize(
    ("rules", "broken"),
    [
        (
            send_specification.Rules(decide_start=start_ignoring_deadline),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(decide_start=start_ignoring_incarnation),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(decide_start=start_ignoring_registry),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(decide_fate=fate_ignoring_incarnation),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(decide_fate=fate_ignoring_retention),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(fences=False),
            "a call reported as NOT_RUN never runs",
        ),
        (
            send_specification.Rules(may_resend=resend_always),
            "a call runs at most once",
        ),
    ],
)
def test_each_send_rule_is_needed(
    rules: send_specification.Rules, broken: str
) -> None:
    failed, _ = explore(send_specification, rules)
    assert broken in failed


def test_a_ran_outcome_without_a_run_is_detected() -> None:
    wrong = send_specification.State(attempt=1, outcome=verdict.Verdict.RAN)
    assert not send_specification.INVARIANTS[
        "a call reported as RAN ran once"
    ](wrong)


def test_key_invariants_hold() -> None:
    failed, states = explore(key_specification, key_specification.Rules())
    print("keys:", states, "states")
    assert not failed
    assert states > 1000


def run_instead_of_join(key_state, *, same_request):
    action = decisions.decide_key_action(key_state, same_request=same_request)
    return state.KeyAction.RUN if action is state.KeyAction.JOIN else action


def run_if_unknown(key_state, *, same_request):
    action = decisions.decide_key_action(key_state, same_request=same_request)
    return (
        state.KeyAction.RUN
        if action is state.KeyAction.REPORT_UNKNOWN
        else action
    )


def accept_any_request(key_state, *, same_request):
    return decisions.decide_key_action(key_state, same_request=True)


def claim_ignoring_incarnation(current, *, own, claim_id):
    if current is not None and current.holder.daemon == own.daemon:
        return state.ClaimAction.RUN
    return decisions.decide_claim_action(current, own=own, claim_id=claim_id)


def claim_ignoring_lost_record(current, *, own, claim_id):
    action = decisions.decide_claim_action(current, own=own, claim_id=claim_id)
    unknown = action is state.ClaimAction.REPORT_UNKNOWN
    return state.ClaimAction.RUN if unknown else action


def run_without_store(current, *, own, claim_id):
    action = decisions.decide_claim_action(current, own=own, claim_id=claim_id)
    return (
        state.ClaimAction.RUN if action is state.ClaimAction.REJECT else action
    )


AT_MOST_ONCE = "a key runs at most once"


@pytest.mark.parametrize(
    ("rules", "broken"),
    [
        (
            key_specification.Rules(decide_key_action=run_instead_of_join),
            AT_MOST_ONCE,
        ),
        (
            key_specification.Rules(decide_key_action=run_if_unknown),
            AT_MOST_ONCE,
        ),
        (
            key_specification.Rules(decide_key_action=accept_any_request),
            "a response belongs to its own request",
        ),
        (
            key_specification.Rules(
                decide_claim_action=claim_ignoring_incarnation
            ),
            AT_MOST_ONCE,
        ),
        (
            key_specification.Rules(
                decide_claim_action=claim_ignoring_lost_record
            ),
            AT_MOST_ONCE,
        ),
        (
            key_specification.Rules(decide_claim_action=run_without_store),
            AT_MOST_ONCE,
        ),
        (
            key_specification.Rules(checks_claim=False),
            "a resend is reported as NOT_RUN only if nothing ran",
        ),
    ],
)
def test_each_key_rule_is_needed(
    rules: key_specification.Rules, broken: str
) -> None:
    failed, _ = explore(key_specification, rules)
    assert broken in failed


def test_claim_actions() -> None:
    own, other = messages.Holder("a", 2), messages.Holder("a", 1)

    def decide(holder: messages.Holder | None, claim_id: str):
        claim = holder and messages.Claim(holder, claim_id)
        return decisions.decide_claim_action(claim, own=own, claim_id="mine")

    assert decide(None, "") is state.ClaimAction.REJECT
    assert decide(own, "mine") is state.ClaimAction.RUN
    assert decide(own, "older") is state.ClaimAction.REPORT_UNKNOWN
    assert decide(other, "older") is state.ClaimAction.REDIRECT
