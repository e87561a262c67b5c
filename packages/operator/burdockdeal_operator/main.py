"""The operator's command."""

import argparse
from collections import abc
import os
import sys

import fire

from burdockdeal_operator import commands
from burdockdeal_operator import exit_codes

#: The environment variable with the daemon's operator address.
ADDRESS_VARIABLE = "BURDOCKDEAL_ADDRESS"

#: The environment variable with the operator's token.
TOKEN_VARIABLE = "BURDOCKDEAL_TOKEN"


def _build_parser() -> argparse.ArgumentParser:
    """Build the parser of the options that every command takes."""
    parser = argparse.ArgumentParser(
        prog="burdockctl",
        add_help=False,
        allow_abbrev=False,
        usage="burdockctl COMMAND [ARGUMENTS] (see burdockctl --help)",
    )
    environment = os.environ.get
    parser.add_argument("--address", default=environment(ADDRESS_VARIABLE))
    parser.add_argument("--token", default=environment(TOKEN_VARIABLE))
    parser.add_argument("--output", default="text", choices=("text", "json"))
    return parser


def run(arguments: abc.Sequence[str] | None = None) -> None:
    """Run the command.

    :param arguments: the command line, sys.argv's by default.
    """
    given, rest = _build_parser().parse_known_args(arguments)
    known = commands.Commands(
        address=given.address or "",
        token=given.token or "",
        output=given.output,
    )
    try:
        fire.Fire(known, command=rest, name="burdockctl")
    except BrokenPipeError:
        sys.exit(exit_codes.ExitCode.OK)


if __name__ == "__main__":
    run()
