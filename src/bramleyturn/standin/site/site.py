"""Run a small site of stand-ins on one address, controlled by a test.

The control address accepts `POST /fault`, `/crash`, `/crashing-parts` (engines crash
when they begin to write an answer on one of them), `/swap` (two servers crash and start
again at each other's address), `/limit` (a server names how many requests a second it
accepts), `/notice` (its answers say that it leaves, its refusals name a time),
`/cold` (a server says for how long it is cold), `/restarts`, `/leave`, `/remove`,
`/deafen` (a server accepts no more connections), `/store`, `/entry` (an item that
another writer left in the store) and `/configuration`, and answers `GET /ledger`.
"""

import base64
from collections.abc import Callable, Mapping
from copy import deepcopy
from typing import Any, Final

import orjson

from bramleyturn.core.answer_end import Framing
from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.http1_server import HttpServer
from bramleyturn.standin.site.crashing_parts import read_crashing_parts
from bramleyturn.standin.site.deployment import (
    SMALL_SITE,
    Deployment,
    pool_document,
    route_document,
)
from bramleyturn.standin.site.raw_answers import read_shape
from bramleyturn.standin.site.run_records import wall_ms
from bramleyturn.standin.site.server_limits import limited_handler
from bramleyturn.standin.site.servers import (
    OddAnswer,
    SiteServer,
    engine_handler,
    plain_handler,
    stage_handler,
)
from bramleyturn.standin.site.store import (
    Store,
    delete,
    forget_history,
    put,
    restore,
    store_handler,
    take_copy,
)

HANDLERS: Final[dict[str, Callable[[SiteServer], Callable[[Exchange], None]]]] = {
    "plain": plain_handler,
    "engine": engine_handler,
    "stage": stage_handler,
}
API_KEY: Final = "key-of-north"
DEFAULT_RESTART_MS: Final = 1_200
DEFAULT_REWRITE_MS: Final = 1_500
# Entries that their servers do not write again are removed after this time.
EXPIRY_MS: Final = 3_600
# With it a route takes some 450 bytes, as on the users' platform.
ROUTE_NOTE: Final = "added by the operators " * 8


class Site:
    """Hold the store and the servers, by name, of a site.

    A server that crashed starts again after ``restart_ms``, with the id that it had if
    ``keeps_ids``. If ``loses_resets``, its connections stay open and silent, as if the
    network had lost the resets. Its port accepts connections for another ``linger_ms``.
    """

    def __init__(
        self, reactor: Any, now_ms: Callable[[], int], deployment: Deployment
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.deployment = deployment
        self.store = Store(reactor)
        self.servers: dict[str, SiteServer] = {}
        self.version = 1
        self.restart_ms = DEFAULT_RESTART_MS
        self.keeps_ids = False
        self.loses_resets = False
        self.linger_ms = 0


def start_site(
    reactor: Any,
    now_ms: Callable[[], int],
    host: str,
    deployment: Deployment = SMALL_SITE,
) -> tuple[Site, dict[str, str]]:
    """Start all stand-ins of a site; return it with its addresses by name."""
    site = Site(reactor, now_ms, deployment)
    zones = list(deployment["zones"])
    addresses = {
        "store": _listen(site, host, store_handler(site.store)),
        "control": _listen(site, host, _control_handler(site)),
    }
    for plan in deployment["pools"]:
        pool = plan["name"]
        for place in range(plan["servers"]):
            server = SiteServer(reactor, f"i-{pool}-{place}", pool, "", plan)
            zone = zones[place % len(zones)]
            _start_server(site, server, zone, host, HANDLERS[plan["kind"]])
            site.servers[server.name] = server
            addresses[server.name] = server.address
    put(site.store, "op/config", orjson.dumps(_next_configuration(site)))
    return site, addresses


def _next_configuration(site: Site, **changes: Any) -> dict[str, Any]:
    return configuration(site.version, deployment=site.deployment, **changes)


def _start_server(
    site: Site,
    server: SiteServer,
    zone: str,
    host: str,
    new_handler: Callable[[SiteServer], Callable[[Exchange], None]],
) -> None:
    """Listen at the server's address, or at a free one, and register the server."""
    server.starts += 1
    if server.starts > 1:
        cold_ms = int(server.plan["cold_start_s"] * MS_PER_S)
        server.limit.cold_until_ms = wall_ms() + cold_ms
    handle = limited_handler(new_handler(server), server.limit, wall_ms)
    http = HttpServer(site.reactor, site.now_ms, lambda: DEFAULT_CALLER_LIMITS, handle)
    port_number = int(server.address.rpartition(":")[2] or 0)
    port = site.reactor.listenTCP(port_number, http.factory(), interface=host)
    server.address = f"{host}:{port.getHost().port}"

    def crash() -> None:
        server.crash = lambda: None
        server.crashes_ms.append(wall_ms())
        server.state = ""
        http.handle = lambda exchange: None
        reset_connections()
        if site.linger_ms:
            site.reactor.callLater(site.linger_ms / MS_PER_S, close_port)
        else:
            close_port()

    def close_port() -> None:
        port.stopListening()
        reset_connections()
        site.reactor.callLater(site.restart_ms / MS_PER_S, restart)

    def reset_connections() -> None:
        for connection in list(http.connections):
            transport: Any = connection.transport
            # The answer that the crash broke off is closed by its own end.
            is_closing = connection.is_closing or transport.disconnecting
            if not site.loses_resets and not is_closing:
                connection.abort()

    def restart() -> None:
        server.running = 0
        server.results.clear()
        if not site.keeps_ids:
            delete(site.store, f"servers/{server.id}")
            server.id = f"{server.name}.{len(server.crashed_by)}.{site.store.revision}"
        _start_server(site, server, zone, host, new_handler)

    server.crash = crash
    server.deafen = port.stopReading
    server.zone = zone
    server.born_ms = site.now_ms()
    register(site, server)


def register(site: Site, server: SiteServer, state: str = "ready") -> None:
    """Write a server's registry entry to the store."""
    server.state = state
    entry = {
        "service": server.pool,
        "address": server.address,
        "zone": server.zone,
        "version": "v1",
        "slots": 6,
        "state": state,
        "coldRemainingMs": max(0, server.limit.cold_until_ms - wall_ms()),
        "sequence": 1,
        "born": server.born_ms,
    }
    put(site.store, f"servers/{server.id}", orjson.dumps(entry))


def configuration(
    version: int,
    timeouts_ms: Mapping[str, int] | None = None,
    deployment: Deployment = SMALL_SITE,
    added_routes: int = 0,
    **changes: Any,
) -> dict[str, Any]:
    """Return the configuration of a deployment in the format that operators publish.

    ``timeouts_ms`` has timeouts by route, ``changes`` other values of the document.
    ``added_routes`` is how many more routes there are, copies of the first one.
    """
    routes = [
        route_document(plan, (timeouts_ms or {}).get(plan["name"], plan["timeout_ms"]))
        for plan in deployment["routes"]
    ]
    routes += [
        routes[0]
        | {"name": f"added-{number}", "prefix": f"/added-{number}/", "note": ROUTE_NOTE}
        for number in range(added_routes)
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [pool_document(plan) for plan in deployment["pools"]],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "north", "apiKeys": [API_KEY], "priority": 0}],
    }
    # A test may change what it gets, and the deployment stays as it is.
    return deepcopy(document | changes)


def _listen(site: Site, host: str, handle: Callable[[Exchange], None]) -> str:
    server = HttpServer(
        site.reactor, site.now_ms, lambda: DEFAULT_CALLER_LIMITS, handle
    )
    port = site.reactor.listenTCP(0, server.factory(), interface=host)
    return f"{host}:{port.getHost().port}"


def _control_handler(site: Site) -> Callable[[Exchange], None]:
    def handle(exchange: Exchange) -> None:
        target = exchange.target.decode()
        body = orjson.loads(exchange.body) if exchange.body else {}
        if target == "/fault":
            server = site.servers[body["server"]]
            server.fault = body["fault"]
            server.shape = read_shape(body["shape"]) if "shape" in body else None
            odd = body.get("resumption")
            server.resumption = None
            if odd is not None:
                framing = Framing(odd["framing"])
                server.resumption = OddAnswer(**odd | {"framing": framing})
            server.gap_ms = body.get("gap_ms", server.plan["gap_ms"][0])
            server.processing_ms = body.get("processing_ms", server.plan["work_ms"])
            server.start_ms = body.get("start_ms", 0)
            server.answer_bytes = body.get("answer_bytes", 0)
            server.event_bytes = body.get("event_bytes", server.plan["event_bytes"])
        elif target == "/crash":
            site.servers[body["server"]].crash()
        elif target == "/crashing-parts":
            for server in site.servers.values():
                server.crashing_parts = read_crashing_parts(body)
        elif target == "/limit":
            limit = site.servers[body["server"]].limit
            limit.text = body["per_s"]
            limit.named_ms = wall_ms()
        elif target == "/notice":
            limit = site.servers[body["server"]].limit
            limit.is_leaving = body.get("leaving", False)
            limit.pause = body.get("pause_s", "")
            limit.named_ms = wall_ms()
        elif target == "/cold":
            limit = site.servers[body["server"]].limit
            limit.cold_until_ms = wall_ms() + body["left_ms"]
        elif target == "/swap":
            one, other = (site.servers[name] for name in body["servers"])
            one.address, other.address = other.address, one.address
            one.crash()
            other.crash()
        elif target == "/restarts":
            site.restart_ms = body.get("restart_ms", DEFAULT_RESTART_MS)
            site.keeps_ids = body.get("keeps_ids", False)
            site.loses_resets = body.get("loses_resets", False)
            site.linger_ms = body.get("linger_ms", 0)
        elif target == "/deafen":
            site.servers[body["server"]].deafen()
        elif target == "/leave":
            register(site, site.servers[body["server"]], state="draining")
        elif target == "/remove":
            server = site.servers[body["server"]]
            server.state = ""
            delete(site.store, f"servers/{server.id}")
        elif target == "/store":
            site.store.refuses = body.get("refuses", 0)
            site.store.is_silent = body.get("silent", False)
            site.store.era_text = body.get("era_text")
            site.store.link_bytes_per_s = body.get("link_bytes_per_s", 0)
            site.store.link_breaks_at_bytes = body.get("link_breaks_at_bytes", 0)
            if body.get("forget"):
                forget_history(site.store)
            if body.get("copy"):
                take_copy(site.store)
            if body.get("restore"):
                _restore(site, body.get("rewrite_ms", DEFAULT_REWRITE_MS))
        elif target == "/entry":
            value = base64.b64decode(body["value"])
            put(site.store, body["key"], value)
        elif target == "/configuration":
            site.version += 1
            document = _next_configuration(site, **body)
            put(site.store, "op/config", orjson.dumps(document))
        shown = _ledger(site) if target == "/ledger" else {"version": site.version}
        answer = orjson.dumps(shown)
        exchange.answer(200, [], answer)

    return handle


def _restore(site: Site, rewrite_ms: int) -> None:
    """Bring the store back from its copy.

    Servers that run write their entries again later, and the others' entries expire.
    """
    restore(site.store)

    def rewrite() -> None:
        for server in site.servers.values():
            if server.state:
                register(site, server, server.state)

    def expire() -> None:
        live = {f"servers/{each.id}" for each in site.servers.values() if each.state}
        for key in set(site.store.items) - live - {"op/config"}:
            delete(site.store, key)

    site.reactor.callLater(rewrite_ms / MS_PER_S, rewrite)
    site.reactor.callLater(EXPIRY_MS / MS_PER_S, expire)


def _ledger(site: Site) -> dict[str, Any]:
    return {
        "store_calls": site.store.calls,
        "store_reads": site.store.reads,
        "servers": {
            server.name: {
                "state": server.state,
                "crashed_by": server.crashed_by,
                "crashes_ms": server.crashes_ms,
                "calls": [vars(each) for each in server.calls],
                "ran": [vars(ran) for ran in server.ran],
                "running": server.running,
                "made": server.made,
                "made_for": server.made_for,
                "kept": len(server.results),
                "endless": server.endless,
                "arrivals_ms": server.limit.arrivals_ms,
                "limit_named_ms": server.limit.named_ms,
                "cold_until_ms": server.limit.cold_until_ms,
                "refusals_ms": server.limit.refusals_ms,
            }
            for server in site.servers.values()
        },
    }
