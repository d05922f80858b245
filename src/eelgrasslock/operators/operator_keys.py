"""Checks the shared key of operators."""

import hmac

_SCHEME = "Bearer "


class OperatorKeys:
    """The keys that open the operators' interface.

    Parameters
    ----------
    keys : list of str
        All of them are valid, so that they can be rotated; with none, the
        interface is open.
    """

    def __init__(self, keys: list[str]) -> None:
        self.keys = [key.encode() for key in keys]

    def accepts(self, authorization: str) -> bool:
        """Return whether an ``Authorization`` header holds a valid key."""
        if not self.keys:
            return True
        if not authorization.startswith(_SCHEME):
            return False
        given = authorization.removeprefix(_SCHEME).encode(errors="surrogateescape")
        # Every key is compared, so that the time tells nothing.
        matches = [hmac.compare_digest(given, key) for key in self.keys]
        return any(matches)
