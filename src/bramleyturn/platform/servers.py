"""Decode the entry that a backend server registers for itself."""

import re
from typing import Final

from bramleyturn.core.address import parse_address
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import int_field, read_object, text_field

SERVERS_PREFIX: Final = "servers/"
# An id is sent as the value of a header.
SERVER_ID: Final = re.compile(r"[!-~]+")
# The state tells whether a server accepts new work, not whether it is reachable.
IS_LEAVING_BY_STATE: Final = {"ready": False, "draining": True}


def decode_server(key: str, value: bytes) -> BackendServer | Malformed:
    """Decode the entry of a server."""
    document = read_object(key, value)
    if isinstance(document, Malformed):
        return document
    server_id = key.removeprefix(SERVERS_PREFIX)
    pool = text_field(document, "service")
    zone = text_field(document, "zone")
    state = text_field(document, "state")
    address = parse_address(text_field(document, "address") or "")
    slots = int_field(document, "slots")
    if SERVER_ID.fullmatch(server_id) is None:
        return Malformed(key, "the id does not fit into a header")
    if pool is None or zone is None or slots is None:
        return Malformed(key, "a field is missing or has the wrong type")
    if address is None or not address.port:
        return Malformed(key, "address is malformed or has no port")
    if state not in IS_LEAVING_BY_STATE:
        return Malformed(key, "state is unknown")
    return BackendServer(
        id=server_id,
        pool=pool,
        host=address.host,
        port=address.port,
        zone=zone,
        version=text_field(document, "version") or "",
        slots=slots,
        is_leaving=IS_LEAVING_BY_STATE[state],
        warmup_left_ms=int_field(document, "coldRemainingMs") or 0,
        started_ms=int_field(document, "born") or 0,
    )
