"""HTTP client of the platform's log."""

import base64
import json
from typing import Any
from urllib.parse import quote

import aiohttp

from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, RecordsExpired
from eelgrasslock.http.client_session import read_body
from eelgrasslock.log.stream_log import Entry

_OK = 200
_CREATED = 201
_GONE = 410
_UNRESOLVED_STATUSES = (500, 502, 504)


class HTTPLog:
    """A `Log` that calls the platform's log service.

    Parameters
    ----------
    url : str
        Base URL of the service.
    session : aiohttp.ClientSession
        Session for all calls; the caller closes it.
    timeout : float
        Timeout of one call in seconds.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, timeout: float = 5.0
    ) -> None:
        self.url = url.rstrip("/")
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout)

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailable
            If the log refused the append, or no connection could be opened.
        AppendUnresolved
            If the request may have been sent, but no response was received.
        """
        try:
            async with self.session.post(
                self._stream_url(stream), data=data, timeout=self.timeout
            ) as response:
                if response.status in (_OK, _CREATED):
                    return _offset(json.loads(await read_body(response)))
                _raise_append_error(response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise LogUnavailable(f"No connection to the log: {error}.") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            message = f"The response to an append was lost: {error!r}."
            raise AppendUnresolved(message) from error
        raise AssertionError("unreachable")

    async def read(self, stream: str, offset: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries from `offset` on, in order.

        Raises
        ------
        LogUnavailable
            If the log can't be read.
        RecordsExpired
            If `offset` is older than the oldest entry in the log.
        """
        parameters = {"from": str(offset), "limit": str(limit)}
        try:
            async with self.session.get(
                self._stream_url(stream), params=parameters, timeout=self.timeout
            ) as response:
                status = response.status
                body = json.loads(await read_body(response))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise LogUnavailable(f"The log can't be read: {error!r}.") from error
        if status == _GONE:
            raise RecordsExpired(_first_offset(body))
        if status != _OK:
            raise LogUnavailable(f"The log answered a read with status {status}.")
        return _entries(body)

    def _stream_url(self, stream: str) -> str:
        return f"{self.url}/streams/{quote(stream, safe='')}"


def _raise_append_error(status: int) -> None:
    if status in _UNRESOLVED_STATUSES:
        raise AppendUnresolved(f"The log answered an append with status {status}.")
    raise LogUnavailable(f"The log refused an append with status {status}.")


def _offset(body: Any) -> int:
    if not isinstance(body, dict) or not isinstance(body.get("offset"), int):
        raise ValueError("The log's response has no offset.")
    return body["offset"]


def _first_offset(body: Any) -> int:
    if not isinstance(body, dict) or not isinstance(body.get("first"), int):
        raise LogUnavailable("The log's response has no first offset.")
    return body["first"]


def _entries(body: Any) -> list[Entry]:
    try:
        return [
            Entry(
                int(entry["offset"]),
                base64.b64decode(entry["data"]),
                float(entry["time"]),
            )
            for entry in body["entries"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise LogUnavailable(
            f"The log's response can't be decoded: {error!r}."
        ) from error
