"""The ``radishfield`` command."""

import configparser

import click
import trio
from expression import Error, Ok
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import (
    LayerRange,
    Profile,
    ResultCode,
    SystemClock,
    Target,
    fault,
)
from radishfield.decisions import Scheduler
from radishfield.edges import CallerApp, EngineTargets
from radishfield.serving import Dispatcher


class StaticProfiles:
    """Profiles from the settings file."""

    __slots__ = ("_by_name",)

    def __init__(self, profiles):
        self._by_name = {profile.name: profile for profile in profiles}

    def find(self, name):
        """Return the profile in force, or why there is none."""
        profile = self._by_name.get(name)
        if profile is None:
            return Error(fault(ResultCode.UNKNOWN_PROFILE, name))
        return Ok(profile)

    def names(self):
        """Return the names of the profiles in force."""
        return list(self._by_name)


@click.group()
def main():
    """Route language-model requests over pipelines of mixed accelerators."""


@main.command()
@click.option("--settings", "path", required=True)
def run(path):
    """Run an entry host."""
    parser = configparser.ConfigParser()
    parser.read(path)
    clock = SystemClock()
    dispatcher = Dispatcher(Scheduler(), EngineTargets(), clock)
    targets = []
    for name in parser["targets"]:
        address, model, first, end, layers = parser["targets"][name].split()
        layer_range = LayerRange(int(first), int(end))
        targets.append(
            Target(
                name,
                name,
                "a",
                address,
                model=model,
                layers=layer_range,
                model_layers=int(layers),
            )
        )
    dispatcher.set_targets(targets, "a")
    profiles = StaticProfiles(
        [Profile(name, parser["profiles"][name]) for name in parser["profiles"]]
    )
    config = Config()
    config.bind = [parser["caller"]["bind"]]
    trio.run(
        serve_until_signal, dispatcher, CallerApp(dispatcher, profiles, clock), config
    )


async def serve_until_signal(dispatcher, app, config):
    """Run the dispatcher beside the caller edge."""
    async with trio.open_nursery() as nursery:
        await nursery.start(dispatcher.run)
        await serve(app, config)
        nursery.cancel_scope.cancel()
