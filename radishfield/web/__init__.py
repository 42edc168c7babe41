"""Shared HTTP code: ASGI helpers, listeners, API calls and call budgets."""

from radishfield.web._address import split_address, split_ip_address
from radishfield.web._answer_framing import AnswerFraming
from radishfield.web._asgi import (
    BodyLimit,
    BodyRoom,
    body_room,
    http_answer,
    read_body,
    run_until_disconnect,
    send_bytes,
    send_chunk,
    send_json,
    serve_lifespan,
    serve_scope,
    start_answer,
)
from radishfield.web._budget import (
    BURST_CALLS,
    CALLS_PER_S,
    ERA_SPREAD_S,
    CallBudget,
    backoff_s,
)
from radishfield.web._calls import (
    BROKEN_CONNECTION_ERRORS,
    ApiAddress,
    ApiCall,
    ApiCaller,
    Headers,
    decode_answer,
)
from radishfield.web._framed_stream import (
    FramedNetwork,
    FramedStream,
    MalformedAnswerError,
    UnusableConnectionError,
)
from radishfield.web._gated_listener import (
    CloseUnread,
    GatedListener,
    Refuse,
    Serve,
    Verdict,
)
from radishfield.web._listener import ListenerConfig, serve_app
from radishfield.web._resources import HostResources
from radishfield.web._time_limits import HELD_UP_S, run_within

__all__ = [
    "AnswerFraming",
    "ApiAddress",
    "ApiCall",
    "ApiCaller",
    "BROKEN_CONNECTION_ERRORS",
    "BURST_CALLS",
    "CALLS_PER_S",
    "BodyLimit",
    "BodyRoom",
    "CallBudget",
    "CloseUnread",
    "ERA_SPREAD_S",
    "FramedNetwork",
    "FramedStream",
    "GatedListener",
    "HELD_UP_S",
    "Headers",
    "HostResources",
    "ListenerConfig",
    "MalformedAnswerError",
    "Refuse",
    "Serve",
    "UnusableConnectionError",
    "Verdict",
    "backoff_s",
    "body_room",
    "decode_answer",
    "http_answer",
    "read_body",
    "run_until_disconnect",
    "run_within",
    "send_bytes",
    "send_chunk",
    "send_json",
    "serve_app",
    "serve_lifespan",
    "serve_scope",
    "split_address",
    "split_ip_address",
    "start_answer",
]
