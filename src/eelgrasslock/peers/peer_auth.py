"""Mutual authentication of peers by shared keys."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

from attrs import frozen

from eelgrasslock.exceptions import EelgrassError

_NONCE_BYTES = 16


class HandshakeFailed(EelgrassError):
    """One of two peers did not prove that it holds a shared key."""


@frozen
class Handshake:
    """Data of one connection that the proofs of both ends cover.

    Attributes
    ----------
    client, server : str
        Incarnations of the two ends.
    client_nonce, server_nonce : bytes
        Random for each connection, so that a proof can't be replayed.
    """

    client: str
    server: str
    client_nonce: bytes
    server_nonce: bytes

    def proof(self, key: str, role: str) -> bytes:
        """Return the proof for one key and role, ``client`` or ``server``."""
        parts = [
            role.encode(),
            self.client.encode(),
            self.server.encode(),
            self.client_nonce,
            self.server_nonce,
        ]
        message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(key.encode(), message, hashlib.sha256)

    def server_proofs(self, keys: list[str]) -> list[bytes]:
        """Return the server's proofs, one for each key."""
        return [self.proof(key, "server") for key in keys]

    def common_key(self, keys: list[str], proofs: Iterable[bytes]) -> str | None:
        """Return the client's first key that the server holds too, or None."""
        given = list(proofs)
        for key in keys:
            expected = self.proof(key, "server")
            if _contains(given, expected):
                return key
        return None

    def accepts_client(self, keys: list[str], proof: bytes) -> bool:
        """Return whether a client's proof is valid for one of the keys."""
        return _contains([self.proof(key, "client") for key in keys], proof)


def new_nonce() -> bytes:
    """Return a random nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def _contains(digests: list[bytes], wanted: bytes) -> bool:
    matches = [hmac.compare_digest(digest, wanted) for digest in digests]
    return any(matches)
