"""Interface of observers that keep records and metrics of requests."""

from typing import Protocol

from radishfield.core import Fault, Request, ServiceRequest, Token
from radishfield.decisions import Dispatch, Failure, Retry

AnyRequest = Request | ServiceRequest


class Observer(Protocol):
    """Called at each step of a request; must neither block nor raise."""

    def arrived(self, request: AnyRequest) -> None:
        """Record that a request has arrived."""

    def admitted(self, request: AnyRequest) -> None:
        """Record that the request waits to be dispatched."""

    def dispatched(self, request: AnyRequest, dispatch: Dispatch) -> None:
        """Record which route an attempt takes, and why."""

    def token(self, request: Request, token: Token) -> None:
        """Record a committed token, just before it is forwarded."""

    def reopened(self, request: Request, position: int) -> None:
        """Record that a silent connection was replaced by a new one."""

    def attempt_failed(
        self, request: AnyRequest, failure: Failure, problem: Fault
    ) -> None:
        """Record an attempt's failure."""

    def retried(self, request: AnyRequest, retry: Retry, problem: Fault) -> None:
        """Record that another attempt follows."""

    def ended(self, request: AnyRequest, problem: Fault | None) -> None:
        """Record the end; ``problem`` is None if the request finished."""


class NullObserver:
    """Ignores all steps."""

    __slots__ = ()

    def arrived(self, request):
        """Do nothing."""

    def admitted(self, request):
        """Do nothing."""

    def dispatched(self, request, dispatch):
        """Do nothing."""

    def token(self, request, token):
        """Do nothing."""

    def reopened(self, request, position):
        """Do nothing."""

    def attempt_failed(self, request, failure, problem):
        """Do nothing."""

    def retried(self, request, retry, problem):
        """Do nothing."""

    def ended(self, request, problem):
        """Do nothing."""
