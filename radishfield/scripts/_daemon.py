"""The daemon behind ``radishfield run``: signals and graceful shutdown."""

import gc
import signal

import trio

from radishfield.scripts._wiring import EntryHost
from radishfield.settings import EntrySettings
from radishfield.telemetry import LogSetup, configure_logs, log_event

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# New objects until a collection, then collections until one of the next generation.
GC_THRESHOLDS = (50_000, 20, 50)


def run_entry_host(settings: EntrySettings) -> None:
    """Run an entry host until a signal ends it gracefully."""
    log = settings.log
    configure_logs(LogSetup(log.level, log.destination, settings.host.id))
    trio.run(_run_until_signal, settings)


async def _run_until_signal(settings: EntrySettings) -> None:
    stop = trio.Event()
    host = EntryHost(settings)
    _reduce_garbage_collection()
    log_event("host.starting")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, stop)
        await host.run(stop)
        nursery.cancel_scope.cancel()
    log_event("host.stopped")


def _reduce_garbage_collection() -> None:
    """Run the cycle collector a hundredth as often, over new objects only.

    A token creates a few hundred short-lived objects.  With the default threshold of
    700 the collector runs at every second or third token, over a process whose
    modules alone hold some 80,000 objects, and finds nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _stop_on_signal(stop: trio.Event) -> None:
    """Set ``stop`` at the first signal; later ones have no effect.

    A supervisor that repeats SIGTERM must not abort the requests that the first
    one lets finish.  A host that hangs can be ended by SIGKILL.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for signal_number in signals:
            log_event("host.leaving", signal=int(signal_number))
            stop.set()
