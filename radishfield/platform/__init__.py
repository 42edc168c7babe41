"""Names, formats and calls of the users' platform; no routing is decided here."""

from radishfield.platform._config import decode_config
from radishfield.platform._names import SINGLE_ANSWER_FIELDS
from radishfield.platform._requests import (
    AnswerFacts,
    Headers,
    RequestFacts,
    TargetRequestFacts,
    caller_headers,
    order_headers,
    parse_rate_limit,
    read_answer,
    read_request,
    read_request_id,
    router_answer_headers,
    target_headers,
)
from radishfield.platform._store import (
    Change,
    Changes,
    Listing,
    ObjectStore,
    StoredValue,
)
from radishfield.platform._targets import (
    ORDER_PATH,
    REPORT_PATH,
    decode_report,
    decode_target,
    encode_place_order,
    encode_repath_order,
    read_beats,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
TARGETS_KIND = "servers"
"""The store's kind for the objects that this project calls targets."""
READY_PATH = "/readyz"

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "ORDER_PATH",
    "READY_PATH",
    "REPORT_PATH",
    "SINGLE_ANSWER_FIELDS",
    "TARGETS_KIND",
    "AnswerFacts",
    "Change",
    "Changes",
    "Headers",
    "Listing",
    "ObjectStore",
    "RequestFacts",
    "TargetRequestFacts",
    "StoredValue",
    "caller_headers",
    "read_beats",
    "decode_config",
    "decode_report",
    "decode_target",
    "order_headers",
    "parse_rate_limit",
    "router_answer_headers",
    "encode_place_order",
    "read_answer",
    "read_request",
    "read_request_id",
    "encode_repath_order",
    "target_headers",
]
