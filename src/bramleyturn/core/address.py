"""Parse addresses of the form IP:PORT."""

import ipaddress
import re
from typing import Final, NamedTuple

MAX_PORT: Final = 65535
ADDRESS: Final = re.compile(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})")


class Address(NamedTuple):
    """Hold an IP address and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Return the address, or None unless ``text`` is IPv4:PORT or [IPv6]:PORT.

    Host names are not accepted. Port 0 is.
    """
    matched = ADDRESS.fullmatch(text)
    if matched is None:
        return None
    port = int(matched[3])
    if port > MAX_PORT:
        return None
    try:
        host = _parse_host(matched[1], matched[2])
    except ValueError:
        return None
    return Address(host, port)


def format_address(address: Address) -> str:
    """Return the address as IPv4:PORT or [IPv6]:PORT."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


def _parse_host(ipv6: str | None, ipv4: str | None) -> str:
    """Return the IP address in its canonical form, or raise ValueError."""
    if ipv6 is not None:
        return str(ipaddress.IPv6Address(ipv6))
    return str(ipaddress.IPv4Address(ipv4))
