"""Scaling of membership: one daemon's roster and its messages."""

from absl import logging

from burdockdeal.announce import state as announce_state
from burdockdeal.core import codec
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import pages
from burdockdeal.membership import roster
from burdockdeal.settings import model
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import scaling

#: The largest is the size that the design targets, with 23 failure
#: domains and 2,300 services.
_MEMBER_COUNTS = (2_875, 5_750, 11_500, 23_000)
_DOMAIN_COUNT = 23
_SERVICE_COUNT = 2_300
_CHANGED_MEMBERS = 200
_RECORD_COUNTS = (1, 2, 4, 8)
_PING_COUNT = 200


def make_members(count: int) -> list[messages.Member]:
    """Return the member records of a fleet of this size."""
    return [
        messages.Member(
            daemon=f"daemon-{number:05d}",
            failure_domain=f"domain-{number % _DOMAIN_COUNT:02d}",
            region=f"region-{number % _DOMAIN_COUNT // 3}",
            peer=model.Address(
                f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 9_000
            ),
            incarnation=1_700_000_000_000 + number,
            service=f"service-{number % _SERVICE_COUNT:04d}",
            phase=announce_state.Phase.SERVING,
            upstream_incarnation=1_700_000_000_000 + number,
            slots=9,
        )
        for number in range(count)
    ]


def make_roster(members: list[messages.Member]) -> roster.Roster:
    """Return the roster of the first member, with the others merged in.

    Lowers the log level to errors, so that logging is not measured.
    """
    logging.set_verbosity(logging.ERROR)
    member_roster = roster.Roster(members[0])
    member_roster.merge_members(members[1:])
    return member_roster


def _measure_memory(count: int) -> float:
    # The records count too: a daemon decodes its own copy of them.
    return meter.measure_bytes(lambda: make_roster(make_members(count)))


def _measure_filling(count: int) -> float:
    members = make_members(count)
    return meter.measure_us(lambda: make_roster(members))


def _measure_change(count: int) -> float:
    """Measure a suspicion of a member and its refutation.

    :returns: microseconds of processor time per member and step.
    """
    members = make_members(count)
    member_roster = make_roster(members)
    changed = members[1 : _CHANGED_MEMBERS + 1]

    def apply_changes() -> None:
        for member in changed:
            member_roster.mark_health(member.daemon, messages.Health.SUSPECT)
        member_roster.merge_members(
            [
                messages.Member(
                    **{
                        name: getattr(member, name)
                        for name in messages.Member.__slots__
                        if name != "serial"
                    },
                    serial=next_serial[0],
                )
                for member in changed
            ]
        )
        next_serial[0] += 1

    next_serial = [1]
    return meter.measure_us(apply_changes) / len(changed) / 2


def _measure_list(count: int) -> float:
    member_roster = make_roster(make_members(count))
    return meter.measure_us(lambda: member_roster.active_peers)


def _measure_comparison(count: int) -> float:
    """Measure the page for a peer whose roster lacks one record.

    :returns: microseconds of processor time.
    """
    members = make_members(count)
    member_roster = make_roster(members)
    other = make_roster(members[:-1])
    request = messages.PageRequest(0, other.checksums)
    return meter.measure_us(lambda: pages.make_page(member_roster, request))


def _measure_roster_bytes(count: int) -> float:
    return float(len(codec.encode(messages.Page(tuple(make_members(count))))))


def _make_ping(records: int) -> messages.Ping:
    members = make_members(records + 1)
    return messages.Ping(members[0], 1, members=tuple(members[1:]))


def _measure_ping_bytes(records: int) -> float:
    return float(len(codec.encode(_make_ping(records))))


def _measure_claim_bytes(claims: int) -> float:
    members = make_members(claims + 1)
    claim_records = tuple(map(decisions.make_claim, members[1:]))
    return float(
        len(codec.encode(messages.Ping(members[0], 1, claims=claim_records)))
    )


def _measure_ping_cpu(records: int) -> float:
    """Measure one side of a ping: encode, decode and merge.

    :returns: microseconds of processor time.
    """
    ping = _make_ping(records)
    member_roster = make_roster(make_members(records + 1))

    def exchange() -> None:
        received = codec.decode(codec.encode(ping), messages.Ping)
        member_roster.merge_members((received.sender, *received.members))

    return meter.measure_us(exchange, iterations=_PING_COUNT)


BENCHMARKS = (
    scaling.Benchmark(
        "roster-memory", "bytes", "member", _MEMBER_COUNTS, _measure_memory
    ),
    scaling.Benchmark(
        "roster-filling", "us", "member", _MEMBER_COUNTS, _measure_filling
    ),
    scaling.Benchmark(
        "roster-change", "us", "member", _MEMBER_COUNTS, _measure_change
    ),
    scaling.Benchmark(
        "roster-list", "us", "member", _MEMBER_COUNTS, _measure_list
    ),
    scaling.Benchmark(
        "roster-comparison",
        "us",
        "member",
        _MEMBER_COUNTS,
        _measure_comparison,
    ),
    scaling.Benchmark(
        "roster-bytes",
        "bytes",
        "member",
        _MEMBER_COUNTS,
        _measure_roster_bytes,
    ),
    scaling.Benchmark(
        "ping-bytes", "bytes", "record", _RECORD_COUNTS, _measure_ping_bytes
    ),
    scaling.Benchmark(
        "claim-bytes", "bytes", "claim", _RECORD_COUNTS, _measure_claim_bytes
    ),
    scaling.Benchmark(
        "ping-cpu", "us", "record", _RECORD_COUNTS, _measure_ping_cpu
    ),
)
