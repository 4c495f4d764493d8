"""Open and close listening ports."""

from typing import Any, Final

from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.tcp import Port

from bramleyturn.standin.settings import Listen

BACKLOG: Final = 1024


def listen(reactor: PosixReactorBase, address: Listen, factory: Any) -> Port:
    """Return a port that serves the protocol ``factory`` at ``address``."""
    port = reactor.listenTCP(address.port, factory, BACKLOG, address.host)
    assert isinstance(port, Port)
    return port


def stop_listening(port: Port) -> None:
    """Refuse new connections to ``port``; those that are open stay."""
    port.stopListening()


def port_number(port: Port) -> int:
    """Return the TCP port that ``port`` listens at."""
    return int(port.getHost().port)


def address_of(port: Port) -> str:
    """Return the address that ``port`` listens at, as IP:PORT."""
    return f"{port.interface}:{port_number(port)}"
