"""Builds requests from what callers sent and what their profile says."""

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
class ModelWork:
    """A model request, and the form in which its answer is to leave."""

    call: ModelCall
    request: Request


@dataclass(slots=True, frozen=True)
class ModelEntry:
    """A profile as the list of models shows it."""

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
    """Return the request that is handed to the dispatcher."""
    return Request(
        id=headers.request_id,
        workspace=headers.workspace,
        profile=profile,
        prompt=call.prompt,
        max_tokens=call.max_tokens,
        arrived=arrived,
        deadline=arrived + _time_allowed(headers, profile),
        priority=_priority(headers, profile),
        idempotency_key=headers.idempotency_key,
        body_digest=call.digest,
        prompt_tokens=call.prompt_tokens,
        sampling=call.sampling,
    )


def service_request(
    headers: CallerHeaders,
    scope,
    path: str,
    profile: Profile,
    body: bytes,
    arrived: float,
) -> ServiceRequest:
    """Return the plain call that is handed to the dispatcher."""
    return ServiceRequest(
        id=headers.request_id,
        workspace=headers.workspace,
        profile=profile,
        method=scope["method"],
        path=path,
        body=body,
        arrived=arrived,
        deadline=arrived + _time_allowed(headers, profile),
        headers=headers_to_service(scope["headers"]),
        priority=_priority(headers, profile),
        idempotency_key=headers.idempotency_key,
        body_digest=call_digest(scope["method"], path, body),
    )


def of_kind(profile: Profile, kind: TargetKind) -> Result[Profile, Fault]:
    """Return the profile if it is of the kind that the route serves."""
    if profile.kind is kind:
        return Ok(profile)
    detail = f"profile {profile.name} is of kind {profile.kind}"
    return Error(fault(ResultCode.WRONG_TARGET_KIND, detail))


def _time_allowed(headers: CallerHeaders, profile: Profile) -> float:
    """Return seconds until too late: a caller may shorten the profile's limit."""
    if headers.deadline_s is None:
        return profile.deadline_s
    return min(headers.deadline_s, profile.deadline_s)


def _priority(headers: CallerHeaders, profile: Profile) -> Priority:
    """Return the priority: a caller may lower the profile's, never raise it.

    Could a caller raise it, all would, and none would go first.
    """
    if headers.priority is None:
        return profile.priority
    return max(headers.priority, profile.priority)
