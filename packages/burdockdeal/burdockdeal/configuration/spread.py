"""How far a configuration has spread: what each failure domain applies."""

import asyncio
from collections import abc

import aiohttp

from burdockdeal.configuration import messages
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.membership import messages as membership

_TIMEOUT_S = 1.0

#: Ask what each failure domain applies.
AskDomains = abc.Callable[[], abc.Awaitable[tuple[messages.Applied, ...]]]


def combine(
    domain: str, answers: abc.Sequence[messages.Applied | None]
) -> messages.Applied:
    """Combine the answers of a domain's daemons: the lowest counts.

    :param answers: None for a daemon that did not answer.
    """
    heard = [answer for answer in answers if answer is not None]
    return messages.Applied(
        failure_domain=domain,
        revision=min((answer.revision for answer in heard), default=0),
        daemons=len(heard),
        unreached=len(answers) - len(heard),
    )


def judge(
    generation: int, domains: abc.Sequence[messages.Applied]
) -> messages.Status:
    """Judge whether a generation is in force everywhere.

    A domain that can't be reached is never counted as in force.
    """
    behind = [
        domain.failure_domain
        for domain in domains
        if domain.unreached or domain.revision < generation
    ]
    everywhere = bool(domains) and not behind
    return messages.Status(
        conditions=(
            messages.Condition("Accepted", True, "InLog", ""),
            messages.Condition(
                "InForceEverywhere",
                everywhere,
                "AllDomains" if everywhere else "DomainsBehind",
                "" if everywhere else "not yet in " + ", ".join(behind),
            ),
        ),
        domains=tuple(domains),
    )


def make_ask_domains(
    members: abc.Callable[[], tuple[membership.Member, ...]],
    session: aiohttp.ClientSession,
    peer_token: str,
) -> AskDomains:
    """Make the function that asks what each failure domain applies."""

    async def ask(member: membership.Member) -> messages.Applied | None:
        try:
            async with session.get(
                f"http://{member.peer}/v1/peer/applied",
                headers={headers.PEER_TOKEN: peer_token},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                response.raise_for_status()
                return codec.decode(await response.read(), messages.Applied)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ):
            return None

    async def ask_domains() -> tuple[messages.Applied, ...]:
        gone = (membership.Health.DEAD, membership.Health.LEFT)
        standing = [m for m in members() if m.health not in gone]
        answers = await asyncio.gather(*map(ask, standing))
        by_domain: dict[str, list[messages.Applied | None]] = {}
        for member, answer in zip(standing, answers, strict=True):
            by_domain.setdefault(member.failure_domain, []).append(answer)
        return tuple(
            combine(domain, by_domain[domain]) for domain in sorted(by_domain)
        )

    return ask_domains
