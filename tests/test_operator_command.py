"""The operator's command against real daemons, by its exit codes."""

import asyncio
import dataclasses
import json
import pathlib
import sys

from burdockdeal_operator import exit_codes
from burdockdeal_standins import fleet as standins


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    code: int
    output: str
    errors: str


async def run(node: standins.Node, *arguments: str) -> Ended:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "burdockdeal_operator.main",
        f"--address={node.settings.listen.operator}",
        f"--token={standins.OPERATOR_TOKEN}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return Ended(process.returncode or 0, output.decode(), errors.decode())


async def test_declare_watch_get_and_delete(
    small: standins.Fleet, tmp_path: pathlib.Path
) -> None:
    node = small.nodes["d1"]
    path = tmp_path / "more.json5"
    path.write_text('{kind: "Service", name: "orders", spec: {}}')
    declared = await run(node, "declare", str(path), "--wait")
    assert declared.code == exit_codes.ExitCode.OK, declared
    assert "InForceEverywhere: True" in declared.output
    other = small.nodes["d3"]
    got = await run(other, "get", "Service", "orders", "--output=json")
    document = json.loads(got.output)
    assert document["changed_by"] == "tests"
    assert [d["unreached"] for d in document["status"]["domains"]] == [0] * 3
    deleted = await run(node, "delete", "Service", "orders")
    assert deleted.code == exit_codes.ExitCode.OK, deleted
    gone = await run(node, "get", "Service", "orders")
    assert gone.code == exit_codes.ExitCode.NOT_FOUND
    assert "Traceback" not in gone.errors


async def test_lists_and_status(small: standins.Fleet) -> None:
    node = small.nodes["d2"]
    listed = await run(node, "list", "Rank")
    assert "tracking" in listed.output and "booking" in listed.output
    services = await run(node, "services")
    assert services.output.splitlines()[1].split()[:2] == ["bookings", "2"]
    domains = await run(node, "domains")
    assert len(domains.output.splitlines()) == 4
    trail = await run(node, "audit")
    assert trail.output.count("ACCEPTED") == 5


async def test_faults_and_codes(
    small: standins.Fleet, tmp_path: pathlib.Path
) -> None:
    node = small.nodes["d1"]
    path = tmp_path / "wrong.json5"
    path.write_text(
        '{kind: "Rule", name: "x", spec: {service: "no", rank: "none"}}'
    )
    refused = await run(node, "declare", str(path))
    assert refused.code == exit_codes.ExitCode.REFUSED
    assert "spec.service" in refused.errors
    assert "spec.rank" in refused.errors
    wrong_token = await run(node, "status", "--token=wrong")
    assert wrong_token.code == exit_codes.ExitCode.UNAUTHENTICATED
    unknown = await run(node, "frobnicate")
    assert unknown.code == exit_codes.ExitCode.USAGE
    silent = await run(node, "status", "--address=127.0.0.1:1")
    assert silent.code == exit_codes.ExitCode.UNREACHABLE
    for ended in (refused, wrong_token, unknown, silent):
        assert "Traceback" not in ended.errors
