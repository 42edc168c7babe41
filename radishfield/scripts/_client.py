"""The command line's way to an operators' listener."""

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
# A change waits for the platform, which may be slow, and asks each zone.
READ_TIMEOUT_S = 30.0
BAD_STATUS = 400


@dataclass(slots=True, frozen=True)
class OperatorClient:
    """Speaks to the first entry host of a list that answers.

    Attributes
    ----------
    addresses : tuple of str
        Operators' listeners, ``ip:port`` each.
    tls_ca : str
        File with the certificate authority; blank speaks without TLS.
    """

    addresses: tuple[str, ...]
    token: str
    tls_ca: str = ""

    def call(
        self, method: str, path: str, kind: type[T], body: object = None
    ) -> Result[T, Fault]:
        """Send a request; the next host is tried only where nothing was sent."""
        problem = fault(ResultCode.CONNECT_FAILED, "no operators' listener is given")
        for address in self.addresses:
            match self._call_one(address, method, path, kind, body):
                case Result(tag="error", error=problem) if _may_ask_next(
                    problem, method
                ):
                    continue
                case result:
                    return result
        return Error(problem)

    def _call_one(
        self, address: str, method: str, path: str, kind: type[T], body: object
    ) -> Result[T, Fault]:
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
        scheme = "https" if self.tls_ca else "http"
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            with httpcore.ConnectionPool(ssl_context=self._tls()) as pool:
                answer = pool.request(
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
            return Error(_lost_answer(address, method, str(error)))
        return _read_answer(answer, kind)

    def _tls(self) -> ssl.SSLContext | None:
        if not self.tls_ca:
            return None
        return ssl.create_default_context(cafile=str(Path(self.tls_ca)))


def _may_ask_next(problem: Fault, method: str) -> bool:
    """Tell whether another host may be asked without doing anything twice."""
    if problem.code is ResultCode.CONNECT_FAILED:
        return True
    return method == "GET" and problem.code is ResultCode.OBJECT_NOT_FOUND


def _lost_answer(address: str, method: str, reason: str) -> Fault:
    detail = f"{address}: the answer was lost: {reason}"
    if method == "GET":
        return fault(ResultCode.CONNECT_FAILED, detail)
    return fault(ResultCode.CHANGE_AMBIGUOUS, detail)


def _read_answer(answer: httpcore.Response, kind: type[T]) -> Result[T, Fault]:
    try:
        if answer.status < BAD_STATUS:
            return Ok(msgspec.json.decode(answer.content, type=kind))
        error = msgspec.json.decode(answer.content, type=ErrorBody).error
        return Error(
            Fault(
                ResultCode(error.code),
                error.message.removeprefix(f"{error.name}: "),
                error.retry_after_s,
                Outcome(error.outcome),
            )
        )
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"HTTP {answer.status}, and an answer that is not the operators': "
        return Error(fault(ResultCode.MALFORMED_ANSWER, detail + str(error)[:100]))
