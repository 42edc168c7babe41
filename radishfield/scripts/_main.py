"""The ``radishfield`` command."""

import click
from expression import Result

from radishfield.scripts._daemon import run_entry_host
from radishfield.settings import EntrySettings, settings_text

EXIT_USAGE = 2


@click.group()
def main():
    """Route language-model requests over pipelines of mixed accelerators."""


@main.command()
@click.option("--settings", "path", required=True)
def run(path):
    """Run an entry host."""
    run_entry_host(read_settings(path))


@main.group()
def settings():
    """Check a settings file, or show it with every default."""


@settings.command("check")
@click.argument("path")
def check_settings(path):
    """Check a file; print each fault on a line of its own."""
    read_settings(path)
    click.echo(f"{path}: no faults")


@settings.command("show")
@click.argument("path")
def show_settings(path):
    """Print a file with every default, and what each key may be."""
    click.echo(settings_text(read_settings(path)))


def read_settings(path: str) -> EntrySettings:
    """Return the settings, or print every fault and exit."""
    match EntrySettings.from_file(path):
        case Result(tag="ok", ok=value):
            return value
        case Result(tag="error", error=problems):
            for problem in problems:
                click.echo(f"{int(problem.code)} {problem.detail}", err=True)
    raise SystemExit(EXIT_USAGE)
