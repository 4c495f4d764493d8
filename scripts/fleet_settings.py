"""Write the settings files of the processes of a local fleet."""

import configparser
import io
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Final, NamedTuple

ANY_PORT: Final = "127.0.0.1:0"
SERVERS_FILE: Final = "50-servers.ini"
SERVER_PREFIX: Final = "server "
POOL_PREFIX: Final = "pool "
NO_MODEL: Final = "none"


class FleetServer(NamedTuple):
    """Describe one backend server of the fleet, before it has an address."""

    name: str
    pool: str
    zone: str
    kind: str
    model: str
    concurrency: int
    recognises_idempotency_key: str
    checks_fencing: str


def read_folder(folder: Path) -> dict[str, str]:
    """Return the texts of the INI files in ``folder`` by their names."""
    return {path.name: path.read_text("utf-8") for path in sorted(folder.glob("*.ini"))}


def servers_in_zones(
    files: Mapping[str, str], zones: Iterable[str]
) -> tuple[FleetServer, ...]:
    """Return the servers of ``zones`` that a published folder names."""
    merged = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",)
    )
    for name in sorted(files):
        merged.read_string(files[name])
    wanted = set(zones)
    return tuple(
        _fleet_server(merged, section)
        for section in merged.sections()
        if section.startswith(SERVER_PREFIX) and merged[section]["zone"] in wanted
    )


def standin_text(
    servers: Iterable[FleetServer], ledgers: Path, values: Mapping[str, str]
) -> str:
    """Return the settings of one process that hosts ``servers``.

    ``values`` are further keys of every server. The ledgers are files, so that
    they outlive the process.
    """
    sections = {
        f"{SERVER_PREFIX}{server.name}": {
            "kind": server.kind,
            "model": server.model,
            "listen": ANY_PORT,
            "concurrency": str(server.concurrency),
            "recognises_idempotency_key": server.recognises_idempotency_key,
            "checks_fencing": server.checks_fencing,
            "ledger": str(ledgers / f"{server.name}.ledger"),
            **values,
        }
        for server in servers
    }
    return ini_text(sections)


def published_servers_text(
    servers: Iterable[FleetServer], addresses: Mapping[str, str]
) -> str:
    """Return the published file that locates ``servers``."""
    return ini_text(
        {
            f"{SERVER_PREFIX}{server.name}": {
                "pool": server.pool,
                "zone": server.zone,
                "address": addresses[server.name],
            }
            for server in servers
        }
    )


def ini_text(sections: Mapping[str, Mapping[str, str]]) -> str:
    """Return an INI document."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def _fleet_server(merged: configparser.ConfigParser, section: str) -> FleetServer:
    server = merged[section]
    pool = merged[f"{POOL_PREFIX}{server['pool']}"]
    return FleetServer(
        name=section.removeprefix(SERVER_PREFIX),
        pool=server["pool"],
        zone=server["zone"],
        kind=pool["kind"],
        model=pool.get("model", NO_MODEL),
        concurrency=pool.getint("concurrency_per_server", 8),
        recognises_idempotency_key=pool.get("recognises_idempotency_key", "no"),
        checks_fencing=pool.get("checks_fencing", "no"),
    )
