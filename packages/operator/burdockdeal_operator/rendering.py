"""Rendering of messages as text and tables for the terminal."""

from collections import abc
import datetime

from burdockdeal.audit import messages as audit
from burdockdeal.configuration import messages
from burdockdeal.membership import messages as membership


def render_table(
    headings: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> str:
    """Render rows as a table with aligned columns."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def render_time(at_ms: int) -> str:
    """Render milliseconds since the Unix epoch as a UTC time."""
    utc_time = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S")


def render_documents(documents: abc.Iterable[messages.Document]) -> str:
    """Render a table of resources."""
    return render_table(
        ("KIND", "NAME", "GENERATION", "BY", "AT"),
        (
            (
                document.kind,
                document.name,
                document.generation,
                document.changed_by,
                render_time(document.changed_at_ms),
            )
            for document in documents
        ),
    )


def render_domains(domains: abc.Iterable[messages.Applied]) -> str:
    """Render a table of what each failure domain has applied."""
    return render_table(
        ("FAILURE DOMAIN", "REVISION", "DAEMONS", "UNREACHED"),
        (
            (
                domain.failure_domain,
                domain.revision,
                domain.daemons,
                domain.unreached,
            )
            for domain in domains
        ),
    )


def render_document(document: messages.Document) -> str:
    """Render one resource and its status."""
    lines = [
        f"{document.kind}/{document.name}",
        f"generation  {document.generation}",
        f"changed by  {document.changed_by}",
        f"changed at  {render_time(document.changed_at_ms)}",
        f"spec        {bytes(document.spec).decode()}",
    ]
    if document.status is not None:
        lines += [
            f"{condition.type}: {condition.status} {condition.message}".strip()
            for condition in document.status.conditions
        ]
        lines.append(render_domains(document.status.domains))
    return "\n".join(lines)


def render_upstreams(members: abc.Iterable[membership.Member]) -> str:
    """Render a table of daemons and the upstreams beside them."""
    return render_table(
        ("DAEMON", "FAILURE DOMAIN", "HEALTH", "SERVICE", "PHASE", "SLOTS"),
        (
            (
                member.daemon,
                member.failure_domain,
                member.health,
                member.service or "-",
                member.phase,
                member.slots,
            )
            for member in sorted(members, key=lambda member: member.daemon)
        ),
    )


def render_services(members: abc.Sequence[membership.Member]) -> str:
    """Render a table of the number of instances by service and phase."""
    services = sorted({m.service for m in members if m.service})

    def count(service: str, phase: str) -> int:
        return sum(m.service == service and m.phase == phase for m in members)

    phases = ("SERVING", "DRAINING", "LAPSED")
    return render_table(
        ("SERVICE", *phases),
        (
            (service, *(count(service, phase) for phase in phases))
            for service in services
        ),
    )


def render_audit_trail(trail: audit.Trail) -> str:
    """Render a page of the audit trail, with notes on missing records."""
    table = render_table(
        ("AT", "OPERATOR", "RESOURCE", "ACTION", "FROM", "TO", "OUTCOME"),
        (
            (
                render_time(record.at_ms),
                record.operator,
                record.resource,
                record.action,
                record.from_generation,
                record.to_generation,
                f"{record.outcome} {record.detail}".strip(),
            )
            for record in trail.records
        ),
    )
    notes = []
    if not trail.complete:
        notes.append(
            "the store is unavailable: showing only the records on this daemon"
        )
    if trail.lost:
        notes.append(f"{trail.lost} records were dropped by this daemon")
    if trail.older:
        notes.append(f"older records: --cursor={trail.older}")
    return "\n".join((table, *notes))
