"""Builds requests from the callers' input and their profiles."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    Priority,
    Profile,
    Request,
    ResultCode,
    ServiceRequest,
    TargetKind,
    fault,
)
from radishfield.edges._caller_bodies import ModelCall
from radishfield.edges._caller_headers import CallerHeaders
from radishfield.edges._caller_services import call_digest, headers_to_service


@dataclass(slots=True, frozen=True)
class PreparedModelCall:
    """A request for the dispatcher and the parsed call that it was built from."""

    call: ModelCall
    request: Request


@dataclass(slots=True, frozen=True)
class ModelEntry:
    """A profile as an entry of the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "radishfield"


@dataclass(slots=True, frozen=True)
class ModelList:
    """The list of models."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


def model_request(
    headers: CallerHeaders, call: ModelCall, profile: Profile, arrived: float
) -> Request:
    """Return the model request for the dispatcher."""
    return Request(
        id=headers.request_id,
        workspace=headers.workspace,
        profile=profile,
        prompt=call.prompt,
        max_tokens=call.max_tokens,
        arrived=arrived,
        deadline=arrived + _time_limit_s(headers, profile),
        priority=_priority(headers, profile),
        idempotency_key=headers.idempotency_key,
        body_digest=call.digest,
        prompt_tokens=call.prompt_tokens,
        sampling=call.sampling,
        shared_parts=call.shared_parts,
    )


def service_request(
    headers: CallerHeaders,
    scope,
    path: str,
    profile: Profile,
    body: bytes,
    arrived: float,
) -> ServiceRequest:
    """Return the service request for the dispatcher."""
    return ServiceRequest(
        id=headers.request_id,
        workspace=headers.workspace,
        profile=profile,
        method=scope["method"],
        path=path,
        body=body,
        arrived=arrived,
        deadline=arrived + _time_limit_s(headers, profile),
        headers=headers_to_service(scope["headers"]),
        priority=_priority(headers, profile),
        idempotency_key=headers.idempotency_key,
        body_digest=call_digest(scope["method"], path, body),
    )


def check_kind(profile: Profile, kind: TargetKind) -> Result[Profile, Fault]:
    """Return the profile if it has the kind that the route serves."""
    if profile.kind is kind:
        return Ok(profile)
    detail = f"profile {profile.name} is of kind {profile.kind}"
    return Error(fault(ResultCode.WRONG_TARGET_KIND, detail))


def _time_limit_s(headers: CallerHeaders, profile: Profile) -> float:
    """Return the time limit in seconds: a caller may only shorten the profile's."""
    if headers.deadline_s is None:
        return profile.deadline_s
    return min(headers.deadline_s, profile.deadline_s)


def _priority(headers: CallerHeaders, profile: Profile) -> Priority:
    """Return the priority: a caller may only lower the profile's.

    If callers could raise it, all of them would, and priorities would have no effect.
    """
    if headers.priority is None:
        return profile.priority
    return max(headers.priority, profile.priority)
