"""What accounts ask of the rest of a daemon."""

from collections.abc import Awaitable, Callable

from eelgrasslock.exceptions import PeerUnavailable

RequestRelease = Callable[[str, str], Awaitable[int]]
OnTokens = Callable[[str, int], None]
SuggestEndpoint = Callable[[], str]


async def no_peer_to_release(holder: str, program: str) -> int:
    """Raise an error: there is no peer to ask."""
    raise PeerUnavailable(f"Peer {holder} can't be called.")


def ignore_tokens(action: str, tokens: int) -> None:
    """Do nothing."""
