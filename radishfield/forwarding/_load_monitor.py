"""Measures this host's event loop and records whether it has time for its requests."""

import trio

from radishfield.core import sleep_to_tick
from radishfield.forwarding._loop_meter import LoopMeter, LoopUse
from radishfield.forwarding._view import RouterView
from radishfield.routing import MEASURE_INTERVAL_S
from radishfield.telemetry import DeferredTelemetry, log_event


class LoadMonitor:
    """Measures the event loop in regular intervals."""

    __slots__ = ("_saturated_s", "_turns", "_view")

    def __init__(self, view: RouterView, telemetry: DeferredTelemetry):
        self._saturated_s = 0.0
        self._turns = 0
        self._view = view
        telemetry.watch(
            "loop_idle_share",
            "Share of time in which the event loop waited for work.",
            lambda: view.host_load.idle_share,
        )
        telemetry.watch(
            "loop_turns", "Turns of the event loop.", lambda: float(self._turns)
        )
        telemetry.watch(
            "saturated_seconds",
            "Seconds in which this host was short of processor time.",
            lambda: self._saturated_s,
        )

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Measure until cancelled."""
        meter = LoopMeter()
        trio.lowlevel.add_instrument(meter)
        task_status.started()
        try:
            while True:
                await sleep_to_tick(MEASURE_INTERVAL_S)
                with self._view.boundary.contain("load.measure"):
                    self._measure(meter)
        finally:
            trio.lowlevel.remove_instrument(meter)

    def _measure(self, meter: LoopMeter) -> None:
        use, load = meter.take(), self._view.host_load
        self._turns += use.turns
        if load.is_saturated:
            self._saturated_s += use.seconds
        self._note_load(use)
        self._update_withdrawal()

    def _note_load(self, use: LoopUse) -> None:
        load = self._view.host_load
        unread = self._view.unread_connections
        if load.note(use.idle_share, use.turn_s, self._view.in_flight, unread):
            log_event(
                "host.saturated" if load.is_saturated else "host.relieved",
                idle_share=round(use.idle_share, 3),
                turn_s=round(use.turn_s, 4),
                turns=use.turns,
                measured_s=round(use.seconds, 3),
                in_flight=self._view.in_flight,
                unread=unread,
                limit=round(load.limit, 1),
                max_in_flight=round(load.max_in_flight, 1),
            )

    def _update_withdrawal(self) -> None:
        view, load = self._view, self._view.host_load
        changed = view.withdrawal.update(
            load.is_short, load.idle_share, view.peers.idle_shares, view.clock.now()
        )
        if changed:
            if view.withdrawal.is_withdrawn:
                load.keep_limit()
            else:
                load.recall_limit()
            log_event(
                "host.withdrawn" if view.withdrawal.is_withdrawn else "host.returned",
                idle_share=round(load.idle_share, 3),
                in_flight=view.in_flight,
                limit=round(load.limit, 1),
                other_idle_shares=[
                    round(share, 2) for share in view.peers.idle_shares[:8]
                ],
            )
