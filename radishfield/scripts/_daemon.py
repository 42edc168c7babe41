"""The daemon behind ``radishfield run``: signals, and an orderly end."""

import gc
import signal

import trio

from radishfield.scripts._wiring import EntryHost
from radishfield.settings import EntrySettings
from radishfield.telemetry import LogSetup, configure_logs, log_event

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# New objects until a collection, and collections until one of the next kind.
COLLECT_AFTER = (50_000, 20, 50)


def run_entry_host(settings: EntrySettings) -> None:
    """Run an entry host until a signal ends it gracefully."""
    log = settings.log
    configure_logs(LogSetup(log.level, log.destination, settings.host.id))
    trio.run(_run_until_signal, settings)


async def _run_until_signal(settings: EntrySettings) -> None:
    stop = trio.Event()
    host = EntryHost(settings)
    _collect_less()
    log_event("host.starting")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_signals, stop)
        await host.run(stop)
        nursery.cancel_scope.cancel()
    log_event("host.stopped")


def _collect_less() -> None:
    """Let the cycle collector run a hundredth as often, over new objects only.

    A token makes a few hundred short-lived objects, so the collector's default
    of 700 ran it for each second or third token, over all of a process whose
    modules alone hold some 80,000 objects, and found nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


async def _wait_signals(stop: trio.Event) -> None:
    """Set ``stop`` at the first signal; a later one changes nothing.

    A supervisor that repeats its SIGTERM must not cut the requests that the
    first one lets finish; SIGKILL remains for a host that hangs.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for number in signals:
            log_event("host.leaving", signal=int(number))
            stop.set()
