"""Check the access of operators and of processes of the fleet."""

import hashlib
import hmac
import ipaddress
from collections.abc import Sequence
from typing import Final

from bramleyturn.core.intake import (
    BadRequest,
    bearer_key,
    key_digest,
    matches_digest,
)
from bramleyturn.core.model import AdminSettings

MAC_BYTES: Final = 16
_MAC_CONTEXT: Final = b"watch"


def check_operator(admin: AdminSettings, authorization: str) -> BadRequest | None:
    """Return why a caller is refused, None if it presents the operators' key.

    Without a digest in the settings every caller is refused.
    """
    key = bearer_key(authorization)
    if isinstance(key, BadRequest):
        return key
    if not admin.key_sha256:
        return BadRequest(
            401,
            "No operators' key",
            "[admin] key_sha256 is empty or no configuration is in force yet",
            "Authorization",
        )
    digest = key_digest(key)
    if matches_digest(digest, admin.key_sha256, admin.previous_key_sha256):
        return None
    return BadRequest(
        401, "Unknown key", "this is not the operators' key", "Authorization"
    )


def is_same_machine(peer_host: str, own_host: str) -> bool:
    """Return whether the peer of a connection runs on this machine.

    It does if its IP address is a loopback one or the address it connected to: no
    other machine can complete a connection from either.
    """
    try:
        peer = ipaddress.ip_address(peer_host)
        own = ipaddress.ip_address(own_host)
    except ValueError:
        return False
    return peer.is_loopback or peer == own


def target_mac(target: str, key: str) -> str:
    """Return the MAC of the request target that one watch asks another for."""
    hashed_key = hashlib.blake2b(key.encode()).digest()
    return hashlib.blake2b(
        target.encode(), digest_size=MAC_BYTES, key=hashed_key, person=_MAC_CONTEXT
    ).hexdigest()


def is_signed(target: str, mac: str, keys: Sequence[str]) -> bool:
    """Return whether ``mac`` was made for ``target`` with one of ``keys``.

    Empty keys are ignored.
    """
    matches = [
        hmac.compare_digest(mac.encode(), target_mac(target, key).encode())
        for key in keys
        if key
    ]
    return any(matches)
