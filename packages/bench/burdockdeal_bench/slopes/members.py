"""Slopes of membership: one daemon's roster and its messages."""

from absl import logging

from burdockdeal.announce import state as announce_state
from burdockdeal.core import codec
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import pages
from burdockdeal.membership import roster
from burdockdeal.settings import model
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import slope

#: To the size of the target, 23 failure domains and 2,300 services.
_SIZES = (2_875, 5_750, 11_500, 23_000)
_DOMAINS = 23
_SERVICES = 2_300
_CHANGES = 200
_RECORDS = (1, 2, 4, 8)
_PINGS = 200


def make_members(count: int) -> list[messages.Member]:
    """Make the records of a fleet."""
    return [
        messages.Member(
            daemon=f"daemon-{number:05d}",
            failure_domain=f"domain-{number % _DOMAINS:02d}",
            region=f"region-{number % _DOMAINS // 3}",
            peer=model.Address(
                f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 9_000
            ),
            incarnation=1_700_000_000_000 + number,
            service=f"service-{number % _SERVICES:04d}",
            phase=announce_state.Phase.SERVING,
            upstream_incarnation=1_700_000_000_000 + number,
            slots=9,
        )
        for number in range(count)
    ]


def make_roster(members: list[messages.Member]) -> roster.Roster:
    """Make the roster of the first of some members."""
    logging.set_verbosity(logging.ERROR)
    standing = roster.Roster(members[0])
    standing.merge_members(members[1:])
    return standing


def _measure_memory(count: int) -> float:
    # The records are made inside, as a daemon decodes them.
    return meter.measure_bytes(lambda: make_roster(make_members(count)))


def _measure_filling(count: int) -> float:
    members = make_members(count)
    return meter.measure_us(lambda: make_roster(members))


def _measure_change(count: int) -> float:
    """Time one claim of suspicion and its refutation."""
    members = make_members(count)
    standing = make_roster(members)
    changing = members[1 : _CHANGES + 1]

    def change() -> None:
        for member in changing:
            standing.mark_health(member.daemon, messages.Health.SUSPECT)
        standing.merge_members(
            [
                messages.Member(
                    **{
                        name: getattr(member, name)
                        for name in messages.Member.__slots__
                        if name != "serial"
                    },
                    serial=next_serial[0],
                )
                for member in changing
            ]
        )
        next_serial[0] += 1

    next_serial = [1]
    return meter.measure_us(change) / len(changing) / 2


def _measure_list(count: int) -> float:
    standing = make_roster(make_members(count))
    return meter.measure_us(lambda: standing.active_peers)


def _measure_comparison(count: int) -> float:
    """Time the answer to a peer whose roster differs in one record."""
    members = make_members(count)
    standing = make_roster(members)
    other = make_roster(members[:-1])
    wanted = messages.PageRequest(0, other.checksums)
    return meter.measure_us(lambda: pages.make_page(standing, wanted))


def _measure_whole_bytes(count: int) -> float:
    return float(len(codec.encode(messages.Page(tuple(make_members(count))))))


def _make_ping(records: int) -> messages.Ping:
    members = make_members(records + 1)
    return messages.Ping(members[0], 1, members=tuple(members[1:]))


def _measure_ping_bytes(records: int) -> float:
    return float(len(codec.encode(_make_ping(records))))


def _measure_claim_bytes(claims: int) -> float:
    members = make_members(claims + 1)
    made = tuple(map(decisions.make_claim, members[1:]))
    return float(len(codec.encode(messages.Ping(members[0], 1, claims=made))))


def _measure_ping_us(records: int) -> float:
    """Time one side of a probe: encode, decode and hear."""
    ping = _make_ping(records)
    standing = make_roster(make_members(records + 1))

    def exchange() -> None:
        heard = codec.decode(codec.encode(ping), messages.Ping)
        standing.merge_members((heard.sender, *heard.members))

    return meter.measure_us(exchange, times=_PINGS)


SLOPES = (
    slope.Slope("roster-memory", "bytes", "member", _SIZES, _measure_memory),
    slope.Slope("roster-filling", "us", "member", _SIZES, _measure_filling),
    slope.Slope("roster-change", "us", "member", _SIZES, _measure_change),
    slope.Slope("roster-list", "us", "member", _SIZES, _measure_list),
    slope.Slope(
        "roster-comparison", "us", "member", _SIZES, _measure_comparison
    ),
    slope.Slope(
        "roster-bytes", "bytes", "member", _SIZES, _measure_whole_bytes
    ),
    slope.Slope(
        "ping-bytes", "bytes", "record", _RECORDS, _measure_ping_bytes
    ),
    slope.Slope(
        "claim-bytes", "bytes", "claim", _RECORDS, _measure_claim_bytes
    ),
    slope.Slope("ping-cpu", "us", "record", _RECORDS, _measure_ping_us),
)
