"""The command line's way to the operators' interface of a daemon."""

import asyncio
import json
from typing import Any, TypeVar

import aiohttp

from eelgrasslock.exceptions import EelgrassError, RecordError
from eelgrasslock.http.client_session import open_session, read_body
from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.operators.operator_views import ErrorView

_TIMEOUT_SECONDS = 30.0
_TRIES = 4
_RETRY_SECONDS = 0.5
_UNAVAILABLE = (502, 503, 504)

View = TypeVar("View")


class DaemonUnreachable(EelgrassError):
    """The daemon, or the log behind it, could not be reached."""


class OrderRefused(EelgrassError):
    """The daemon refused.

    Parameters
    ----------
    view : ErrorView
        Its answer.
    """

    def __init__(self, view: ErrorView) -> None:
        super().__init__(view.sentence)
        self.view = view


class OperatorClient:
    """Talks to one daemon.

    Parameters
    ----------
    url : str
        The daemon's HTTP address as a URL.
    key : str
        The operators' key, or empty.
    """

    def __init__(self, url: str, key: str) -> None:
        self.url = url.rstrip("/")
        self.key = key

    def get(self, path: str, kind: type[View]) -> View:
        """Return what a path answers, as an object of a type.

        Raises
        ------
        DaemonUnreachable
            If there is no answer.
        OrderRefused
            If the daemon refuses.
        """
        return _read(asyncio.run(self._call("GET", path, None)), kind)

    def send(self, method: str, path: str, order: Any, kind: type[View]) -> View:
        """Send an order and return the answer.

        An order whose answer was lost is sent again; all orders may be.

        Raises
        ------
        DaemonUnreachable
            If there is no answer.
        OrderRefused
            If the daemon refuses.
        """
        return _read(asyncio.run(self._send(method, path, order)), kind)

    async def _send(self, method: str, path: str, order: Any) -> Any:
        for attempt in range(1, _TRIES):
            try:
                return await self._call(method, path, to_jsonable(order))
            except DaemonUnreachable:
                await asyncio.sleep(_RETRY_SECONDS * attempt)
        return await self._call(method, path, to_jsonable(order))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        try:
            async with (
                open_session(headers=headers, timeout=timeout) as session,
                session.request(method, self.url + path, json=body) as response,
            ):
                answer = json.loads(await read_body(response))
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            message = f"{self.url} gives no answer ({type(error).__name__})."
            raise DaemonUnreachable(message) from error
        if status == 200:
            return answer
        raise _refusal(status, answer)


def _refusal(status: int, answer: Any) -> EelgrassError:
    try:
        view = from_jsonable(answer["error"], ErrorView)
    except (KeyError, TypeError, RecordError):
        return DaemonUnreachable(f"The daemon answered with status {status}.")
    if status in _UNAVAILABLE:
        return DaemonUnreachable(view.sentence)
    return OrderRefused(view)


def _read(answer: Any, kind: type[View]) -> View:
    try:
        return from_jsonable(answer, kind)
    except RecordError as error:
        message = "The daemon's answer has another form; is its version another?"
        raise DaemonUnreachable(message) from error
