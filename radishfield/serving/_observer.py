"""What the dispatcher tells to whoever keeps records and metrics of requests."""

from typing import Protocol

from radishfield.core import Fault, Request, ServiceRequest, Token
from radishfield.decisions import Dispatch, Failure, Retry

AnyRequest = Request | ServiceRequest


class Observer(Protocol):
    """Called at each step of a request's way; must neither block nor raise."""

    def arrived(self, request: AnyRequest) -> None:
        """Note a request at the start of its way."""

    def admitted(self, request: AnyRequest) -> None:
        """Note that the request waits to be dispatched."""

    def dispatched(self, request: AnyRequest, dispatch: Dispatch) -> None:
        """Note which way an attempt goes, and why."""

    def token(self, request: Request, token: Token) -> None:
        """Note a committed token, just before it is passed on."""

    def reopened(self, request: Request, position: int) -> None:
        """Note that a silent connection was replaced by a new one."""

    def attempt_failed(
        self, request: AnyRequest, failure: Failure, problem: Fault
    ) -> None:
        """Note an attempt's failure."""

    def retried(self, request: AnyRequest, retry: Retry, problem: Fault) -> None:
        """Note that another attempt follows."""

    def ended(self, request: AnyRequest, problem: Fault | None) -> None:
        """Note the end; ``problem`` is None where the request finished."""


class NullObserver:
    """Keeps nothing."""

    __slots__ = ()

    def arrived(self, request):
        """Keep nothing."""

    def admitted(self, request):
        """Keep nothing."""

    def dispatched(self, request, dispatch):
        """Keep nothing."""

    def token(self, request, token):
        """Keep nothing."""

    def reopened(self, request, position):
        """Keep nothing."""

    def attempt_failed(self, request, failure, problem):
        """Keep nothing."""

    def retried(self, request, retry, problem):
        """Keep nothing."""

    def ended(self, request, problem):
        """Keep nothing."""
