"""Start all stand-ins that one process hosts."""

from collections import OrderedDict
from typing import Final

from twisted.internet.posixbase import PosixReactorBase

from bramleyturn.core.clock import Clock
from bramleyturn.standin.backend import KeyedRuns
from bramleyturn.standin.backend_http import backend_app
from bramleyturn.standin.json_http import abort_all, quiet_site
from bramleyturn.standin.platform import Platform, publish, read_folder
from bramleyturn.standin.platform_http import Watchers, control_app, platform_app
from bramleyturn.standin.ports import address_of, listen, port_number, stop_listening
from bramleyturn.standin.settings import (
    Listen,
    PlatformSettings,
    ServerSettings,
    StandinSettings,
)

PLATFORM_NAME: Final = "platform"
CONTROL_NAME: Final = "platform-control"


def host_all(
    settings: StandinSettings, reactor: PosixReactorBase, clock: Clock
) -> dict[str, str]:
    """Start every stand-in in ``settings`` and return the addresses by name."""
    addresses: dict[str, str] = {}
    runs_by_model: dict[str, KeyedRuns] = {}
    for server in settings.servers:
        keyed_runs = runs_by_model.setdefault(server.model, OrderedDict())
        addresses[server.name] = _host_server(server, reactor, clock, keyed_runs)
    if settings.platform is not None:
        addresses.update(_host_platform(settings.platform, reactor, clock))
    return addresses


def _host_server(
    settings: ServerSettings,
    reactor: PosixReactorBase,
    clock: Clock,
    keyed_runs: KeyedRuns,
) -> str:
    app, server = backend_app(settings, reactor, clock, keyed_runs)
    site = quiet_site(app.resource())
    server.port = listen(reactor, settings.listen, site)
    server.close_all_connections = lambda: abort_all(site)
    return address_of(server.port)


def _host_platform(
    settings: PlatformSettings, reactor: PosixReactorBase, clock: Clock
) -> dict[str, str]:
    platform = Platform(settings, clock)
    if settings.folder:
        publish(platform, read_folder(settings.folder))
    watchers = Watchers()
    site = quiet_site(platform_app(platform, watchers, reactor).resource())
    port = listen(reactor, settings.listen, site)
    bound = Listen(settings.listen.host, port_number(port))

    def set_listening(wanted: bool) -> None:
        nonlocal port
        if wanted and not port.connected:
            port = listen(reactor, bound, site)
        elif not wanted and port.connected:
            stop_listening(port)
            abort_all(site)

    control = control_app(platform, watchers, set_listening)
    control_port = listen(reactor, settings.control, quiet_site(control.resource()))
    return {PLATFORM_NAME: address_of(port), CONTROL_NAME: address_of(control_port)}
