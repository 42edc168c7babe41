"""Routes, targets and paths as plain values, and the decisions made from them.

The package does no I/O and reads no clock: the time and the random generator are passed
as arguments.
"""

from radishfield.routing._admission_queue import AdmissionQueue, QueueEntry
from radishfield.routing._choice import FailureRates, choose_target
from radishfield.routing._crossing_gate import (
    ANNOUNCE_DELAY_S,
    CrossingGate,
    draw,
    free_prompt_capacity,
)
from radishfield.routing._directory import Removal, TargetDirectory
from radishfield.routing._events import EventSplitter, event_ids
from radishfield.routing._freshness import Freshness
from radishfield.routing._layout import (
    Assignment,
    block_layers,
    next_loads,
    plan_layout,
    plan_move,
)
from radishfield.routing._leaving import (
    END_MARGIN_S,
    NOTICE_S,
    ends_waits,
    takes_work,
)
from radishfield.routing._links import LinkUsage, Pair, crossing_ms, pair_of
from radishfield.routing._list_freshness import (
    ANSWER_MARGIN_S,
    COALESCE_S,
    LATENESS_S,
    MAX_ANSWER_MARGIN_S,
    MAX_DELIVERY_S,
    MIN_DUTY_CHECK_S,
    REPORT_DELAY_S,
    STORE_IDLE_S,
    AnswerMargin,
    confirmed_at,
    max_unread_age_s,
    watch_wait_s,
)
from radishfield.routing._load import LoadTable, TargetLoad
from radishfield.routing._paces import MAX_NORMAL_SLOWDOWN, SlowdownTable
from radishfield.routing._paths import (
    REMOTE_STATE_AGE_S,
    STARTUP_SPREAD,
    Demand,
    PathFinder,
    capacity_token_layers,
    choice_spread,
    covers_once,
    path_ms,
)
from radishfield.routing._peer_freshness import (
    PeerConfirmation,
    confirmed_by_peer_at,
    sends_callers_away,
)
from radishfield.routing._silence import (
    Ask,
    GiveUp,
    Step,
    StreamSilence,
    Wait,
    next_check_s,
    next_step,
    targets_to_probe,
)
from radishfield.routing._table import (
    Identity,
    NoKeyNeeded,
    RoutingTable,
    UnknownKey,
)
from radishfield.routing._types import (
    Accelerator,
    EngineSpec,
    LayerSpan,
    Path,
    PathStage,
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingConfig,
    ServiceShare,
    ServiceSpec,
    TargetPhase,
    TargetRecord,
    TargetReport,
    Workspace,
)
from radishfield.routing._watch_duty import WATCHERS_PER_ZONE, WatchDuty, ZoneHost
from radishfield.routing._zone_sums import ZoneTotal

__all__ = [
    "max_unread_age_s",
    "STORE_IDLE_S",
    "REPORT_DELAY_S",
    "MIN_DUTY_CHECK_S",
    "ANSWER_MARGIN_S",
    "COALESCE_S",
    "LATENESS_S",
    "MAX_ANSWER_MARGIN_S",
    "MAX_DELIVERY_S",
    "AnswerMargin",
    "confirmed_at",
    "watch_wait_s",
    "STARTUP_SPREAD",
    "MAX_NORMAL_SLOWDOWN",
    "SlowdownTable",
    "path_ms",
    "ANNOUNCE_DELAY_S",
    "REMOTE_STATE_AGE_S",
    "CrossingGate",
    "draw",
    "ends_waits",
    "free_prompt_capacity",
    "END_MARGIN_S",
    "NOTICE_S",
    "Accelerator",
    "Ask",
    "Assignment",
    "Demand",
    "EngineSpec",
    "EventSplitter",
    "FailureRates",
    "Freshness",
    "GiveUp",
    "TargetLoad",
    "Identity",
    "LayerSpan",
    "LoadTable",
    "NoKeyNeeded",
    "Path",
    "PathFinder",
    "PathStage",
    "LinkUsage",
    "Pair",
    "Removal",
    "RequestLimits",
    "RouteKind",
    "RouteRule",
    "RoutingConfig",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "Step",
    "StreamSilence",
    "TargetDirectory",
    "TargetPhase",
    "TargetRecord",
    "TargetReport",
    "QueueEntry",
    "UnknownKey",
    "Wait",
    "WATCHERS_PER_ZONE",
    "WatchDuty",
    "AdmissionQueue",
    "PeerConfirmation",
    "Workspace",
    "ZoneHost",
    "ZoneTotal",
    "block_layers",
    "capacity_token_layers",
    "choice_spread",
    "choose_target",
    "covers_once",
    "crossing_ms",
    "event_ids",
    "next_loads",
    "next_check_s",
    "next_step",
    "pair_of",
    "plan_layout",
    "plan_move",
    "sends_callers_away",
    "takes_work",
    "targets_to_probe",
    "confirmed_by_peer_at",
]
