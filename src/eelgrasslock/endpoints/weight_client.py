"""The client of the rate-limited weight store."""

import random
from urllib.parse import quote

import aiohttp

from eelgrasslock.clock import Clock
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure, refused
from eelgrasslock.exceptions import Ran
from eelgrasslock.http.client_session import check_outlived
from eelgrasslock.scheduling.calls import CallOutcome

_READ_SECONDS = 60.0
_TRIES = 5
_PAUSE_SECONDS = 1.0
_LONGEST_PAUSE_SECONDS = 30.0


class WeightClient:
    """Reads weights, no faster than the store allows.

    Parameters
    ----------
    url : str
        The weight store.
    session : aiohttp.ClientSession
        For the calls; closed by its owner.
    clock : Clock
        The time.
    rng : random.Random
        Spreads the tries of many daemons.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.url = url.rstrip("/")
        self.session = session
        self.clock = clock
        self.rng = rng

    async def size(self, model: str) -> int:
        """Read a model's weights and return how many bytes they have.

        Raises
        ------
        EndpointFailure
            If the store does not give them after some tries.
        """
        for number in range(_TRIES - 1):
            try:
                return await self._read(model)
            except EndpointFailure as failure:
                if failure.callers_fault:
                    raise
                await self.clock.sleep(self._pause(number, failure.retry_after))
        return await self._read(model)

    async def _read(self, model: str) -> int:
        timeout = aiohttp.ClientTimeout(total=_READ_SECONDS)
        path = f"{self.url}/weights/{quote(model, safe='')}"
        count = 0
        try:
            async with self.session.get(path, timeout=timeout) as response:
                if response.status != 200:
                    raise await refused(response)
                async for part in response.content.iter_any():
                    count += len(part)
                await check_outlived(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = f"{type(error).__name__}: {error}"
            raise EndpointFailure(message, CallOutcome.BROKEN, Ran.NO) from error
        return count

    def _pause(self, number: int, retry_after: float | None) -> float:
        bound = min(_LONGEST_PAUSE_SECONDS, _PAUSE_SECONDS * 2.0**number)
        return max(retry_after or 0.0, self.rng.uniform(0.0, bound))
