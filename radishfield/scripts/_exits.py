"""Exit codes of the command line, and how it prints faults."""

import enum
from typing import NoReturn

import click
import msgspec

from radishfield.core import Fault, Outcome, ResultCode


class ExitCode(enum.IntEnum):
    """Exit codes that scripts rely on; the numbers must not change."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN_OUTCOME = 5


CONFLICT_CODES = frozenset({ResultCode.CHANGE_CONFLICT, ResultCode.PLATFORM_CONFLICT})


def exit_code_of(problem: Fault) -> ExitCode:
    """Return the exit code of a command that ends with this fault."""
    if problem.code is ResultCode.CONNECT_FAILED:
        return ExitCode.UNREACHABLE
    if problem.code in CONFLICT_CODES:
        return ExitCode.CONFLICT
    if problem.outcome is Outcome.UNKNOWN:
        return ExitCode.UNKNOWN_OUTCOME
    return ExitCode.REFUSED


def print_fault(problem: Fault, as_json: bool = False) -> None:
    """Print a fault's number, name and detail as one line on stderr."""
    if as_json:
        click.echo(msgspec.json.encode(problem), err=True)
        return
    detail = " ".join(problem.detail.split())
    click.echo(f"{int(problem.code)} {problem.code.name}: {detail}", err=True)


def fail(problem: Fault, as_json: bool = False) -> NoReturn:
    """Print a fault and end the command."""
    print_fault(problem, as_json)
    raise SystemExit(int(exit_code_of(problem)))
