"""``radishfield codes``: the table of result codes."""

from dataclasses import dataclass

import click
import msgspec

from radishfield.core import HELP_BY_CODE, OUTCOME_BY_CODE, CodeHelp, ResultCode
from radishfield.edges import http_status

COLUMNS = ("number", "name", "outcome", "HTTP", "meaning", "what to do")


@dataclass(slots=True, frozen=True)
class CodeRow:
    """A row of the table of result codes."""

    number: int
    name: str
    outcome: str
    http: int
    meaning: str
    advice: str


def code_rows() -> list[CodeRow]:
    """Return the table, one row per code, in order of number."""
    return [_row(code) for code in ResultCode]


def markdown_table() -> str:
    """Return the table as docs/RESULT-CODES.md holds it."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "| ---" * len(COLUMNS) + " |"]
    for row in code_rows():
        lines.append("| " + " | ".join(_cells(row)) + " |")
    return "\n".join(lines)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
@click.option("--markdown", is_flag=True, help="Print docs/RESULT-CODES.md's table.")
def codes(as_json, markdown):
    """Print every result code: outcome, HTTP status, meaning, what to do.

    \b
    Example: what a caller was told:
      radishfield codes | grep 3002
    """
    if as_json:
        click.echo(msgspec.json.encode(code_rows()))
    elif markdown:
        click.echo(markdown_table())
    else:
        for row in code_rows():
            head = f"{row.number} {row.name} ({row.outcome}, HTTP {row.http})"
            click.echo(f"{head}: {row.meaning} {row.advice}")


def _row(code: ResultCode) -> CodeRow:
    help = HELP_BY_CODE.get(code, CodeHelp("", ""))
    outcome = OUTCOME_BY_CODE[code].value
    return CodeRow(
        int(code), code.name, outcome, http_status(code), help.meaning, help.advice
    )


def _cells(row: CodeRow) -> tuple[str, ...]:
    return (
        str(row.number),
        row.name,
        row.outcome,
        str(row.http),
        row.meaning,
        row.advice,
    )
