"""The ``radishfield`` command."""

import click
from expression import Result

from radishfield.scripts._codes import codes
from radishfield.scripts._exits import ExitCode, print_fault
from radishfield.scripts._fleet import drain, explain, hosts, status, targets, undrain
from radishfield.scripts._profiles import profiles
from radishfield.settings import EntrySettings, settings_table, settings_text


@click.group()
def main():
    """Route language-model requests over pipelines of mixed accelerators.

    Commands for operators ask an entry host's operators' listener: give it with
    --operator and --token-file, or once for all in RADISHFIELD_OPERATOR and
    RADISHFIELD_TOKEN_FILE.

    \b
    Exit codes:
      0  done
      1  refused by the system; the line says why, with its number
      2  wrong usage or settings
      3  conflict: another operator's change won
      4  no entry host could be reached; nothing was sent
      5  unknown: the answer was lost, look before trying again
    """


@main.command()
@click.option("--settings", "path", required=True, metavar="FILE")
def run(path):
    """Run an entry host until SIGTERM, which drains it first.

    \b
    Example:
      radishfield run --settings entry.ini
    """
    # Imported here so that the other commands need not load the daemon.
    from radishfield.scripts._daemon import run_entry_host

    run_entry_host(read_settings(path))


@main.group("settings")
def settings_group():
    """Check a settings file, or show it with every default."""


@settings_group.command("check")
@click.argument("path", metavar="FILE")
def check_settings(path):
    """Check a file; print each fault on a line of its own.

    \b
    Example:
      radishfield settings check entry.ini
    """
    read_settings(path)
    click.echo(f"{path}: no faults")


@settings_group.command("show")
@click.argument("path", metavar="FILE")
def show_settings(path):
    """Print a file with every default, and what each key may be.

    \b
    Example: a file to start from:
      radishfield settings show /dev/null
    """
    click.echo(settings_text(read_settings(path)))


@settings_group.command("table")
def print_settings_table():
    """Print docs/OPERATIONS.md's table of every key, its default and limits.

    \b
    Example: all that a listener can be told:
      radishfield settings table | grep caller
    """
    defaults = {name: kind() for name, kind in EXTRA_SECTIONS.items()}
    click.echo(settings_table(EntrySettings(extra_by_section=defaults)))


def read_settings(path: str) -> EntrySettings:
    """Return the settings, or print every fault and exit."""
    match EntrySettings.from_file(path, EXTRA_SECTIONS):
        case Result(tag="ok", ok=value):
            return value
        case Result(tag="error", error=problems):
            for problem in problems:
                print_fault(problem)
    raise SystemExit(int(ExitCode.USAGE))


# Data classes of sections that other packages define, by section name.
EXTRA_SECTIONS: dict[str, type] = {}

for command in (profiles, drain, undrain, targets, hosts, status, explain, codes):
    main.add_command(command)
