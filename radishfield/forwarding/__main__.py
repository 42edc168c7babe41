"""``python -m radishfield.forwarding``: run a router with a settings file."""

import sys

import click

from radishfield.forwarding._router import read_settings, run_router


@click.command()
@click.option(
    "--settings",
    "path",
    envvar="RADISHFIELD_SETTINGS",
    required=True,
    help="Path of the settings file.",
)
@click.option("--check", is_flag=True, help="Check the settings and end.")
def main(path: str, check: bool) -> None:
    """Run a router until a signal ends it."""
    settings = read_settings(path)
    if settings.is_error():
        for problem in settings.error:
            click.echo(f"{int(problem.code)} {problem.detail}", err=True)
        sys.exit(2)
    if not check:
        run_router(path, settings.ok)


main()
