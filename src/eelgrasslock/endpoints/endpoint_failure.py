"""How a call to an endpoint failed."""

import asyncio
import contextlib
from collections.abc import Iterator

import aiohttp

from eelgrasslock.exceptions import EndpointError, Ran
from eelgrasslock.scheduling.calls import CallOutcome

_CALLER_STATUSES = frozenset({400, 405, 406, 411, 413, 414, 415, 422, 431})
_REFUSED_STATUSES = frozenset({429, 503})
_ERROR_TEXT_BYTES = 300
_ERROR_TEXT_SECONDS = 0.2


class EndpointFailure(EndpointError):
    """A call to an endpoint failed, and how.

    Parameters
    ----------
    message : str
        What happened, for the log only; never shown to a caller.
    end : CallOutcome
        How it failed, for the scheduler.
    ran : Ran
        Whether the endpoint may have run the request.
    status : int or None
        The endpoint's HTTP status, if it gave one.
    retry_after : float or None
        Seconds until the endpoint asks to be tried again.
    """

    def __init__(
        self,
        message: str,
        end: CallOutcome,
        ran: Ran,
        status: int | None = None,
        retry_after: float | None = None,
    ) -> None:
        silent = end is CallOutcome.SILENT
        super().__init__(message, ran, status, retry_after, silent)
        self.end = end

    @property
    def callers_fault(self) -> bool:
        """Whether the request itself is at fault, so that no retry can help."""
        return self.status in _CALLER_STATUSES


def parse_retry_after(text: str | None) -> float | None:
    """Return the seconds of a ``Retry-After`` header, None if there are none."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


@contextlib.contextmanager
def readable_answer() -> Iterator[None]:
    """Turn the errors of reading a malformed answer into a failure."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        message = f"The answer is malformed: {error!r}"
        raise EndpointFailure(message, CallOutcome.BROKEN, Ran.UNKNOWN) from error


async def refused(response: aiohttp.ClientResponse) -> EndpointFailure:
    """Return an endpoint's error answer as a failure, with the start of its text."""
    message = f"Status {response.status}: {await _error_text(response)}"
    retry_after = parse_retry_after(response.headers.get("Retry-After"))
    if response.status < 500 or response.status in _REFUSED_STATUSES:
        return EndpointFailure(
            message, CallOutcome.REFUSED, Ran.NO, response.status, retry_after
        )
    return EndpointFailure(message, CallOutcome.BROKEN, Ran.UNKNOWN, response.status)


async def _error_text(response: aiohttp.ClientResponse) -> str:
    text = b""
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(_ERROR_TEXT_SECONDS):
            text = await response.content.read(_ERROR_TEXT_BYTES)
    return text.decode(errors="replace")
