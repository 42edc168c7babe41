"""The wiring of ``radishfield run``: which services an entry host consists of."""

import trio
from expression import Error, Ok
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import ResultCode, SystemClock, fault
from radishfield.decisions import Scheduler
from radishfield.edges import CallerApp, EngineTargets
from radishfield.serving import Dispatcher
from radishfield.settings import EntrySettings


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


def run_entry_host(settings: EntrySettings) -> None:
    """Run an entry host until it is told to stop."""
    clock = SystemClock()
    dispatcher = Dispatcher(Scheduler(), EngineTargets(), clock)
    dispatcher.set_targets(list(settings.targets), settings.host.zone)
    profiles = StaticProfiles(settings.profiles)
    config = Config()
    config.bind = [settings.caller.bind]
    app = CallerApp(dispatcher, profiles, clock)
    trio.run(serve_until_signal, dispatcher, app, config)


async def serve_until_signal(dispatcher: Dispatcher, app, config: Config) -> None:
    """Run the dispatcher beside the caller edge."""
    async with trio.open_nursery() as nursery:
        await nursery.start(dispatcher.run)
        await serve(app, config)
        nursery.cancel_scope.cancel()
