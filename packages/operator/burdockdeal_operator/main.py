"""Entry point of the burdockctl command."""

import argparse
from collections import abc
import os
import sys

import fire

from burdockdeal_operator import commands
from burdockdeal_operator import exit_codes

#: The environment variable with the address of a daemon's operator
#: interface.
ADDRESS_VARIABLE = "BURDOCKDEAL_ADDRESS"

#: The environment variable with the operator's token.
TOKEN_VARIABLE = "BURDOCKDEAL_TOKEN"


def _build_parser() -> argparse.ArgumentParser:
    """Build the parser of the options that all commands share."""
    parser = argparse.ArgumentParser(
        prog="burdockctl",
        add_help=False,
        allow_abbrev=False,
        usage="burdockctl COMMAND [ARGUMENTS] (see burdockctl --help)",
    )
    get_variable = os.environ.get
    parser.add_argument("--address", default=get_variable(ADDRESS_VARIABLE))
    parser.add_argument("--token", default=get_variable(TOKEN_VARIABLE))
    parser.add_argument("--output", default="text", choices=("text", "json"))
    return parser


def run(arguments: abc.Sequence[str] | None = None) -> None:
    """Parse the command line and run the command.

    :param arguments: the command line, sys.argv's by default.
    """
    options, remaining = _build_parser().parse_known_args(arguments)
    operator_commands = commands.Commands(
        address=options.address or "",
        token=options.token or "",
        output=options.output,
    )
    try:
        fire.Fire(operator_commands, command=remaining, name="burdockctl")
    except BrokenPipeError:
        sys.exit(exit_codes.ExitCode.OK)


if __name__ == "__main__":
    run()
