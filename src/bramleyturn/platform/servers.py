"""Decode what a backend server registers of itself."""

from typing import Final

from bramleyturn.core.address import parse_address
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import read_object, text_field, whole_field

SERVERS_PREFIX: Final = "servers/"
# The state says whether a server wants new work, not whether it answers.
IS_LEAVING: Final = {"ready": False, "draining": True}


def decode_server(key: str, value: bytes) -> BackendServer | Malformed:
    """Return the server that an item registers, or why the item names none."""
    document = read_object(key, value)
    if isinstance(document, Malformed):
        return document
    server_id = key.removeprefix(SERVERS_PREFIX)
    pool = text_field(document, "service")
    zone = text_field(document, "zone")
    state = text_field(document, "state")
    address = parse_address(str(document.get("address")))
    slots = whole_field(document, "slots")
    if not server_id or pool is None or zone is None or slots is None:
        return Malformed(key, "a field is missing or of a wrong type")
    if address is None or not address.port:
        return Malformed(key, "no usable address")
    if state not in IS_LEAVING:
        return Malformed(key, "an unknown state")
    return BackendServer(
        id=server_id,
        pool=pool,
        host=address.host,
        port=address.port,
        zone=zone,
        version=text_field(document, "version") or "",
        slots=slots,
        is_leaving=IS_LEAVING[state],
        warmup_left_ms=whole_field(document, "coldRemainingMs") or 0,
        started_ms=whole_field(document, "born") or 0,
    )
