"""Options that the commands for operators share."""

from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import TypeVar

import click
import msgspec
from expression import Result

from radishfield.core import Fault
from radishfield.scripts._client import OperatorClient
from radishfield.scripts._exits import ExitCode, fail

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Session:
    """Client and output format of a command for operators."""

    client: OperatorClient
    as_json: bool

    def request(self, method: str, path: str, kind: type[T], body: object = None) -> T:
        """Send a request; return the answer, or print the fault and end the command."""
        match self.client.call(method, path, kind, body):
            case Result(tag="ok", ok=value):
                return value
            case Result(tag="error", error=problem):
                self.fail(problem)

    def fail(self, problem: Fault):
        """Print a fault and end the command."""
        fail(problem, self.as_json)

    def show(self, value: object, lines: list[str]) -> None:
        """Print a value as JSON for scripts, or as lines for a person."""
        if self.as_json:
            click.echo(msgspec.json.encode(value))
        else:
            click.echo("\n".join(lines))


def operator_command(function):
    """Add the options that an operators' listener needs, and pass a `Session`."""

    @click.option(
        "--operator",
        "addresses",
        envvar="RADISHFIELD_OPERATOR",
        required=True,
        metavar="IP:PORT[,IP:PORT]",
        help="Operators' listeners; the first that answers is used.",
    )
    @click.option(
        "--token-file",
        envvar="RADISHFIELD_TOKEN_FILE",
        required=True,
        type=click.Path(exists=True, dir_okay=False),
        help="File that holds the operators' token.",
    )
    @click.option(
        "--tls-ca",
        envvar="RADISHFIELD_TLS_CA",
        default="",
        help="Certificate authority of the listeners; without it no TLS is used.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
    @wraps(function)
    def command(addresses, token_file, tls_ca, as_json, **arguments):
        try:
            token = Path(token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            click.echo(f"{token_file}: {error}", err=True)
            raise SystemExit(int(ExitCode.USAGE)) from None
        listener_addresses = tuple(addresses.replace(",", " ").split())
        client = OperatorClient(listener_addresses, token, tls_ca)
        function(Session(client, as_json), **arguments)

    return command
