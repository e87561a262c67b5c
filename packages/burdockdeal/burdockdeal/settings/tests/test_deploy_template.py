"""The settings' template of the deploy folder makes valid settings."""

import itertools
import pathlib
import re

from burdockdeal.settings import fleet_terms
from burdockdeal.settings import loader
from burdockdeal.settings import model

_TEMPLATE = pathlib.Path(__file__).parents[5] / "deploy" / "settings.json5"
_VALUES = {
    "nodeName": '"sidecar-shotton-1"',
    "zone": '"shotton"',
    "region": '"deeside"',
    "service": '"orders"',
    "ip": "10.1.0.8",
    "internalPortRange.0": "7620",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetMinRetries": "56",
    "bounds.budgetWindowS": "10",
    "bounds.graceS": "10",
}
_WORKSPACE_VALUES = {
    "bounds.quotaWindowS": "5",
    "bounds.quotaOver": "0.1",
    "bounds.quotaSlack": "20",
    "bounds.revokeMs": "5000",
    "bounds.failClosed": "true",
    "bounds.evacuateMs": "5000",
    "bounds.coldOver": "1.5",
    "bounds.coldSlack": "8",
}


def fill_template(values: dict[str, str]) -> model.Settings:
    """Fill in the template as the platform does, and read the result."""
    ports = itertools.count(8300)

    def fill_section(found: re.Match[str]) -> str:
        return found[2] if found[1] in values else ""

    def fill(found: re.Match[str]) -> str:
        name = found[1].removesuffix("|json")
        return values.get(name) or f'"10.1.0.8:{next(ports)}"'

    text = re.sub(
        r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}",
        fill_section,
        _TEMPLATE.read_text(encoding="utf-8"),
        flags=re.DOTALL,
    )
    return loader.parse(re.sub(r"\{\{([^}]*)\}\}", fill, text), "template")


def test_the_template_is_valid_once_it_is_filled_in() -> None:
    settings = fill_template(_VALUES)
    assert settings.daemon == "sidecar-shotton-1"
    assert settings.deployment.service == "orders"
    # The time for a stop follows from the platform's grace.
    assert 9.0 < settings.limits.stop_limit_s < 10.0


def test_parts_of_which_the_platform_says_nothing_are_off() -> None:
    settings = fill_template(_VALUES)
    assert settings.quotas is None
    assert settings.cold_excess is None
    assert not settings.keys.fail_closed
    assert not settings.deployment.has_evacuations


def test_terms_of_workspaces_come_from_the_platform() -> None:
    settings = fill_template(_VALUES | _WORKSPACE_VALUES)
    assert settings.quotas == fleet_terms.QuotaTerms(5, 0.1, 20)
    assert settings.keys == fleet_terms.KeyTerms(
        fail_closed=True, revoke_s=5.0
    )
    assert settings.deployment.has_evacuations
    assert settings.cold_excess == fleet_terms.ColdExcess(1.5, 8)
