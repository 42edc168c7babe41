"""HTTP client of the command line for operators' listeners."""

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar
from urllib.parse import quote

import httpcore
import msgspec
from expression import Error, Ok, Result

from radishfield.core import Fault, Outcome, ResultCode, fault
from radishfield.edges import ErrorBody

T = TypeVar("T")

CONNECT_TIMEOUT_S = 3.0
# A change waits for the platform, which may be slow, and queries each zone.
READ_TIMEOUT_S = 30.0
MIN_ERROR_STATUS = 400


@dataclass(slots=True, frozen=True)
class OperatorClient:
    """Sends requests to the first entry host in a list that answers.

    Attributes
    ----------
    addresses : tuple of str
        Operators' listeners, ``ip:port`` each.
    tls_ca : str
        File with the certificate authority; if empty, TLS is not used.
    """

    addresses: tuple[str, ...]
    token: str
    tls_ca: str = ""

    def call(
        self, method: str, path: str, kind: type[T], body: object = None
    ) -> Result[T, Fault]:
        """Send a request; try the next host only where no change can be repeated."""
        problem = fault(
            ResultCode.CONNECT_FAILED, "no address of an operators' listener was given"
        )
        for address in self.addresses:
            match self._call_host(address, method, path, kind, body):
                case Result(tag="error", error=problem) if _may_try_next_host(
                    problem, method
                ):
                    continue
                case result:
                    return result
        return Error(problem)

    def _call_host(
        self, address: str, method: str, path: str, kind: type[T], body: object
    ) -> Result[T, Fault]:
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
        scheme = "https" if self.tls_ca else "http"
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            with httpcore.ConnectionPool(ssl_context=self._ssl_context()) as pool:
                response = pool.request(
                    method,
                    f"{scheme}://{address}{quote(path)}",
                    headers={"authorization": f"Bearer {self.token}"},
                    content=content,
                    extensions={"timeout": timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            detail = f"{address}: {error}"
            return Error(fault(ResultCode.CONNECT_FAILED, detail))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            return Error(_lost_answer_fault(address, method, str(error)))
        return _decode_response(response, kind)

    def _ssl_context(self) -> ssl.SSLContext | None:
        if not self.tls_ca:
            return None
        return ssl.create_default_context(cafile=str(Path(self.tls_ca)))


def _may_try_next_host(problem: Fault, method: str) -> bool:
    """Return whether the next host can be tried without repeating a change."""
    if problem.code is ResultCode.CONNECT_FAILED:
        return True
    return method == "GET" and problem.code is ResultCode.OBJECT_NOT_FOUND


def _lost_answer_fault(address: str, method: str, reason: str) -> Fault:
    detail = f"{address}: the answer was lost: {reason}"
    if method == "GET":
        return fault(ResultCode.CONNECT_FAILED, detail)
    return fault(ResultCode.CHANGE_AMBIGUOUS, detail)


def _decode_response(response: httpcore.Response, kind: type[T]) -> Result[T, Fault]:
    try:
        if response.status < MIN_ERROR_STATUS:
            return Ok(msgspec.json.decode(response.content, type=kind))
        error = msgspec.json.decode(response.content, type=ErrorBody).error
        return Error(
            Fault(
                ResultCode(error.code),
                error.message.removeprefix(f"{error.name}: "),
                error.retry_after_s,
                Outcome(error.outcome),
            )
        )
    except (msgspec.MsgspecError, ValueError) as error:
        detail = (
            f"HTTP {response.status} with a body that no operators' listener sends: "
        )
        return Error(fault(ResultCode.MALFORMED_ANSWER, detail + str(error)[:100]))
