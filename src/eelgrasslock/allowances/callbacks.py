"""What accounts ask of the rest of a daemon."""

from collections.abc import Awaitable, Callable

from eelgrasslock.allowances.offline import OfflineUsageReport
from eelgrasslock.exceptions import PeerUnavailable

RequestRelease = Callable[[str, str], Awaitable[int]]
OnTokens = Callable[[str, int], None]
SuggestEndpoint = Callable[[], str]
QueryOfflineUsage = Callable[[str], Awaitable[OfflineUsageReport | None]]


async def no_peer_to_release(holder: str, program: str) -> int:
    """Raise an error: there is no peer to ask."""
    raise PeerUnavailable(f"Peer {holder} can't be called.")


async def no_offline_usage(program: str) -> OfflineUsageReport | None:
    """Return None: there is no peer to ask."""
    return None


def ignore_tokens(action: str, tokens: int) -> None:
    """Do nothing."""
