"""Hash strings consistently across processes, to rank or distribute items."""

import hashlib
from typing import Final

SHORT_HASH_BYTES: Final = 8


def short_hash(text: str) -> bytes:
    """Return a hash of ``text`` that is the same in every process and version."""
    return hashlib.blake2b(text.encode(), digest_size=SHORT_HASH_BYTES).digest()
