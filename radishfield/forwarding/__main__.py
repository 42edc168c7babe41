"""``python -m radishfield.forwarding``: run a router with a settings file."""

import gc
import sys

from radishfield.forwarding._early_signals import early_reload

early_reload.install()

# Imported modules are never freed; garbage collection during the imports takes 5 % of
# the start time, in which no request is served.
gc.disable()

import click  # noqa: E402

from radishfield.forwarding._router import read_settings, run_router  # noqa: E402

gc.freeze()
gc.enable()


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
