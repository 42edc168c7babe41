"""What a fleet of targets can carry, and who asks for it: pure values and functions.

Nothing here reads a clock or a network, and nothing depends on which of the two routers
asks.
"""

from radishfield.capacity._admission import Reject, ServiceAdmission, Start, Wait
from radishfield.capacity._answer_times import (
    AnswerTimes,
    KnownTimes,
    RequestEnd,
    slowness_by_target,
)
from radishfield.capacity._chain_flow import chain_carries, chain_flow
from radishfield.capacity._data import (
    ChainFlow,
    HeldLayers,
    PlainTargetUse,
    RankDemand,
    ServiceDemand,
    StreamRoom,
    WorkspaceUse,
)
from radishfield.capacity._deadlines import COMEBACK_S, DeadlineGate, Unreachable
from radishfield.capacity._demand import (
    MAX_RANK,
    DemandMeter,
    DemandTable,
    fit_demands,
)
from radishfield.capacity._plain_targets import (
    HeldTarget,
    PlainTargets,
    SentRequest,
    SlownessChange,
)
from radishfield.capacity._reserve import Level
from radishfield.capacity._start_ramp import StartRamp
from radishfield.capacity._use_limits import UseLimit, UseLimits

__all__ = [
    "COMEBACK_S",
    "MAX_RANK",
    "AnswerTimes",
    "ChainFlow",
    "DeadlineGate",
    "DemandMeter",
    "DemandTable",
    "HeldLayers",
    "HeldTarget",
    "KnownTimes",
    "Level",
    "PlainTargetUse",
    "PlainTargets",
    "RankDemand",
    "Reject",
    "RequestEnd",
    "SentRequest",
    "ServiceAdmission",
    "ServiceDemand",
    "SlownessChange",
    "Start",
    "StartRamp",
    "StreamRoom",
    "Unreachable",
    "UseLimit",
    "UseLimits",
    "Wait",
    "WorkspaceUse",
    "chain_carries",
    "chain_flow",
    "fit_demands",
    "slowness_by_target",
]
