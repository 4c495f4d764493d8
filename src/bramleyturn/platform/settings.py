"""Parse the settings file that the platform writes for each process."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from bramleyturn.core.address import MAX_PORT, Address, parse_address
from bramleyturn.core.fault import Fault, quote
from bramleyturn.core.units import MS_PER_S

SETTINGS_VARIABLE: Final = "BRAMLEYTURN_CONFIG"
PERCENT: Final = 100
ZONE_PREFIX: Final = "zones."
# Those of the smallest machine.
DEFAULT_MEMORY_MB: Final = 152
DEFAULT_FILE_DESCRIPTORS: Final = 1_535


class ServingBounds(NamedTuple):
    """Hold the limits that the platform sets for this deployment.

    A process is killed ``grace_ms`` after it was asked to stop. The retry budget of
    all instances together allows, in any ``budget_window_ms``, ``retry_ratio`` of the
    requests plus ``retry_slack`` more. In any second, a cold server gets at most
    ``cold_overage`` times its cold rate plus ``cold_slack`` requests; both are None
    where this is not in force.
    """

    grace_ms: int
    retry_ratio: float
    retry_slack: float
    budget_window_ms: int
    cold_overage: float | None = None
    cold_slack: float | None = None


class ServingSettings(NamedTuple):
    """Hold the settings of one process on the platform.

    ``internal_port`` is the same on all instances. ``capacity`` is the CPU capacity of
    the instance, in hundredths of a core, ``memory_mb`` its memory and
    ``file_descriptors`` how many it may have open, files included.
    ``region_by_zone`` has every zone that the platform names.
    """

    name: str
    zone: str
    front: Address
    ready: Address
    control: Address
    store: Address
    seeds: tuple[Address, ...]
    internal_port: int
    capacity: int
    bounds: ServingBounds
    region_by_zone: Mapping[str, str] = MappingProxyType({})
    memory_mb: int = DEFAULT_MEMORY_MB
    file_descriptors: int = DEFAULT_FILE_DESCRIPTORS


class RefusedServingSettings(NamedTuple):
    """Hold every fault of a settings file."""

    faults: tuple[Fault, ...]


class _Reader:
    """Hold the lines of a settings file and the faults found so far."""

    def __init__(self, file: str, values: Mapping[str, tuple[int, str]]) -> None:
        self.file = file
        self.values = values
        self.faults: list[Fault] = []

    def fault(self, key: str, expected: str) -> None:
        """Record that the value of ``key`` is missing or malformed."""
        line, text = self.values.get(key, (0, ""))
        found = quote(text) if line else "nothing"
        self.faults.append(Fault(self.file, line, "", key, expected, found))

    def text(self, key: str) -> str:
        """Return a string, which must not be empty."""
        text = self.values.get(key, (0, ""))[1]
        if not text:
            self.fault(key, "a non-empty string")
        return text

    def address(self, key: str) -> Address:
        """Return an address."""
        address = parse_address(self.values.get(key, (0, ""))[1])
        if address is None:
            self.fault(key, "an address, IP:PORT")
            return Address("", 0)
        return address

    def number(self, key: str, default: str = "") -> float:
        """Return a non-negative number."""
        try:
            number = float(self.values.get(key, (0, default))[1])
        except ValueError:
            number = -1.0
        if not 0 <= number < float("inf"):
            self.fault(key, "a number that is not negative")
            return 0.0
        return number

    def first_port(self, key: str) -> int:
        """Return the first port of a range given as FIRST,LAST."""
        first = self.values.get(key, (0, ""))[1].partition(",")[0]
        if not first.isdigit() or not 0 < int(first) <= MAX_PORT:
            self.fault(key, "a range of ports, FIRST,LAST")
            return 0
        return int(first)

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Return a comma-separated list of addresses, which may be empty."""
        text = self.values.get(key, (0, ""))[1]
        parsed = [parse_address(part.strip()) for part in text.split(",") if part]
        if any(address is None for address in parsed):
            self.fault(key, "addresses, IP:PORT, joined by commas")
        return tuple(address for address in parsed if address is not None)


def parse_serving_settings(
    text: str, file: str
) -> ServingSettings | RefusedServingSettings:
    """Parse the settings, or return all faults. Unknown keys are ignored."""
    values: dict[str, tuple[int, str]] = {}
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        key, separator, value = stripped.partition("=")
        if not separator:
            faults.append(Fault(file, number, "", "", "KEY=VALUE", quote(stripped)))
            continue
        values[key.strip()] = (number, value.strip())
    reader = _Reader(file, values)
    reader.faults += faults
    # The share is relative to one core, and `limits.cores` is the speed of that core
    # relative to a standard one.
    speed = reader.number("limits.cpuShare") * reader.number("limits.cores", "1")
    settings = ServingSettings(
        name=reader.text("nodeName"),
        zone=reader.text("zone"),
        front=reader.address("listen.front"),
        ready=reader.address("listen.ready"),
        control=reader.address("listen.control"),
        store=reader.address("platform.address"),
        seeds=reader.addresses("seeds"),
        internal_port=reader.first_port("internalPortRange"),
        capacity=int(PERCENT * speed),
        bounds=_bounds(reader),
        region_by_zone={
            key.removeprefix(ZONE_PREFIX): region
            for key, (_, region) in values.items()
            if key.startswith(ZONE_PREFIX)
        },
        memory_mb=int(reader.number("limits.memoryMb", str(DEFAULT_MEMORY_MB))),
        file_descriptors=int(
            reader.number("limits.fileDescriptors", str(DEFAULT_FILE_DESCRIPTORS))
        ),
    )
    if reader.faults:
        return RefusedServingSettings(tuple(sorted(reader.faults)))
    return settings


def _bounds(reader: _Reader) -> ServingBounds:
    has_cold_bound = {"bounds.coldOverage", "bounds.coldSlack"} <= reader.values.keys()
    return ServingBounds(
        grace_ms=int(reader.number("bounds.graceS") * MS_PER_S),
        retry_ratio=reader.number("bounds.retryBudgetRatio"),
        retry_slack=reader.number("bounds.retryBudgetSlack"),
        budget_window_ms=int(reader.number("bounds.budgetWindowS") * MS_PER_S),
        cold_overage=reader.number("bounds.coldOverage") if has_cold_bound else None,
        cold_slack=reader.number("bounds.coldSlack") if has_cold_bound else None,
    )
