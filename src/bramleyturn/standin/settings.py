"""Read the settings file of the stand-ins."""

import configparser
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bramleyturn.core.model import PoolKind

SERVER_PREFIX: Final = "server "
BOOLEANS: Final = configparser.ConfigParser.BOOLEAN_STATES


class Listen(NamedTuple):
    """Hold an address to listen at; port 0 is any free port."""

    host: str
    port: int


class ServerSettings(NamedTuple):
    """Describe one backend server stand-in.

    ``service_ms`` is the duration of one call, for an engine that of its prefill.
    One out of every ``events_gap_every`` cache events is lost; 0 loses none.
    """

    name: str
    kind: PoolKind
    model: str
    listen: Listen
    service_ms: int = 5
    token_ms: int = 1
    concurrency: int = 8
    queue: int = 64
    recognises_idempotency_key: bool = False
    checks_fencing: bool = False
    chunk_tokens: int = 4
    prefix_blocks: int = 4096
    load_lag_ms: int = 200
    events_lag_ms: int = 500
    events_gap_every: int = 10
    ledger: str = ""


class PlatformSettings(NamedTuple):
    """Describe the platform stand-in; ``folder`` is published as revision 1."""

    listen: Listen
    control: Listen = Listen("127.0.0.1", 0)
    reads_per_s: int = 2000
    list_lag_ms: int = 0
    folder: str = ""


class StandinSettings(NamedTuple):
    """Hold the settings of all stand-ins that one process hosts."""

    servers: tuple[ServerSettings, ...]
    platform: PlatformSettings | None


class Fault(NamedTuple):
    """Describe a fault in a settings file and its place."""

    section: str
    key: str
    reason: str


class SettingsFaults(NamedTuple):
    """Hold every fault of a settings file."""

    faults: tuple[Fault, ...]


def parse_settings(text: str) -> StandinSettings | SettingsFaults:
    """Return the settings in the INI document ``text``, or all of its faults."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",)
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return SettingsFaults((Fault("", "", str(error).replace("\n", " ")),))
    faults: list[Fault] = []
    servers: list[ServerSettings] = []
    platform: PlatformSettings | None = None
    for section in parser.sections():
        values = dict(parser[section])
        if section == "platform":
            fields = _fields(section, values, PLATFORM_PARSERS, ("listen",), faults)
            platform = PlatformSettings(**fields) if fields else None
        elif section.startswith(SERVER_PREFIX):
            fields = _fields(
                section, values, SERVER_PARSERS, SERVER_REQUIRED_KEYS, faults
            )
            if fields:
                name = section.removeprefix(SERVER_PREFIX).strip()
                servers.append(ServerSettings(name=name, **fields))
        else:
            faults.append(Fault(section, "", "is neither [server NAME] nor [platform]"))
    if not faults and not servers and platform is None:
        faults.append(
            Fault("", "", "has neither a [server NAME] nor a [platform] section")
        )
    if faults:
        return SettingsFaults(tuple(faults))
    return StandinSettings(tuple(servers), platform)


def parse_listen(text: str) -> Listen:
    """Return the address in ``text``; raise ``ValueError`` unless it is IP:PORT."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected an address such as 127.0.0.1:0")
    return Listen(host, int(port))


def describe(faults: SettingsFaults, file: str) -> str:
    """Return one line for each fault, with its place."""
    return "\n".join(
        f"{file}: [{fault.section}] {fault.key}: {fault.reason}"
        for fault in faults.faults
    )


def _fields(
    section: str,
    values: dict[str, str],
    parsers: dict[str, Callable[[str], Any]],
    required_keys: tuple[str, ...],
    faults: list[Fault],
) -> dict[str, Any]:
    """Parse the values of a section; return an empty dict if it has a fault."""
    before = len(faults)
    fields: dict[str, Any] = {}
    for key, text in values.items():
        parser = parsers.get(key)
        if parser is None:
            faults.append(Fault(section, key, "is not a known key"))
            continue
        try:
            fields[key] = parser(text)
        except ValueError as error:
            faults.append(Fault(section, key, str(error)))
    faults.extend(
        Fault(section, key, "is missing") for key in required_keys if key not in values
    )
    return fields if len(faults) == before else {}


def _integer(least: int) -> Callable[[str], int]:
    """Return a parser of integers of at least ``least``."""

    def parse(text: str) -> int:
        if not text.isdigit() or int(text) < least:
            raise ValueError(f"expected an integer of at least {least}")
        return int(text)

    return parse


def _boolean(text: str) -> bool:
    if text.lower() not in BOOLEANS:
        raise ValueError("expected yes or no")
    return BOOLEANS[text.lower()]


def _kind(text: str) -> PoolKind:
    if text not in set(PoolKind):
        raise ValueError(f"expected one of {', '.join(PoolKind)}")
    return PoolKind(text)


SERVER_REQUIRED_KEYS: Final = ("kind", "model", "listen")
SERVER_PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "kind": _kind,
    "model": str,
    "listen": parse_listen,
    "service_ms": _integer(0),
    "token_ms": _integer(0),
    "concurrency": _integer(1),
    "queue": _integer(0),
    "recognises_idempotency_key": _boolean,
    "checks_fencing": _boolean,
    "chunk_tokens": _integer(1),
    "prefix_blocks": _integer(0),
    "load_lag_ms": _integer(0),
    "events_lag_ms": _integer(0),
    "events_gap_every": _integer(0),
    "ledger": str,
}
PLATFORM_PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "listen": parse_listen,
    "control": parse_listen,
    "reads_per_s": _integer(1),
    "list_lag_ms": _integer(0),
    "folder": str,
}
