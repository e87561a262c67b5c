"""The settings' template of the deploy folder makes valid settings."""

import itertools
import pathlib
import re

from burdockdeal.settings import loader

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


def test_the_template_is_valid_once_it_is_filled_in() -> None:
    ports = itertools.count(8300)

    def fill(found: re.Match[str]) -> str:
        name = found[1].removesuffix("|json")
        return _VALUES.get(name) or f'"10.1.0.8:{next(ports)}"'

    text = re.sub(
        r"\{\{([^}]*)\}\}", fill, _TEMPLATE.read_text(encoding="utf-8")
    )
    settings = loader.parse(text, "template")
    assert settings.daemon == "sidecar-shotton-1"
    assert settings.deployment.service == "orders"
    # The time for a stop follows from the platform's grace.
    assert 9.0 < settings.limits.stop_limit_s < 10.0
