"""Which connections are reset once all together hold too much."""

from burdockdeal.overload import decisions
from burdockdeal.overload import memory
from burdockdeal.overload import state

_LIMIT_BYTES = 32_000_000


class Connection:
    """A connection that holds memory until it is reset."""

    def __init__(self, held_bytes: int, stalled_s: float) -> None:
        self.holding = state.Holding(held_bytes, stalled_s)
        self.was_evicted = False

    def measure_holding(self) -> state.Holding:
        return self.holding

    def evict(self) -> None:
        self.was_evicted = True


def test_a_crowd_goes_before_ordinary_callers() -> None:
    """Replays 1,500 stalled uploads beside the requests of other callers."""
    ledger = memory.MemoryLedger(_LIMIT_BYTES, lambda: 0.0)
    crowd, ordinary = [], []
    for number in range(1500):
        crowd.append(Connection(140_000, 2.0))
        ledger.update(crowd[-1])
        if number % 10 == 0:
            ordinary.append(Connection(20_000, 0.1))
            ledger.update(ordinary[-1])
        if number % 100 == 0:
            # An upload that holds as much and moves.
            ordinary.append(Connection(140_000, 0.0))
            ledger.update(ordinary[-1])
        assert ledger.total_bytes <= _LIMIT_BYTES
    assert not any(each.was_evicted for each in ordinary)
    assert ledger.evicted == sum(each.was_evicted for each in crowd) > 1200


def test_the_most_bytes_and_the_least_progress_go_first() -> None:
    holdings = [
        state.Holding(100, 1.0),
        state.Holding(100, 9.0),
        state.Holding(5000, 1.0),
        state.Holding(5000, 0.0),
    ]
    assert decisions.choose_evictions(holdings, 1) == [2]
    assert decisions.choose_evictions(holdings, 5001) == [2, 1]
    assert decisions.choose_evictions(holdings, 0) == []


def test_a_connection_that_ended_holds_nothing() -> None:
    ledger = memory.MemoryLedger(_LIMIT_BYTES, lambda: 0.0)
    connection = Connection(1000, 0.0)
    ledger.update(connection)
    ledger.update(connection)
    assert ledger.total_bytes == 1000
    ledger.remove(connection)
    ledger.remove(connection)
    assert ledger.total_bytes == 0
