"""Measure how long a process's loop keeps a readiness check waiting.

Runs as a process of its own, with the address and the process id of an entry, until its
standard input ends. Prints a line after the first check, and at the end the longest
delay in milliseconds. The time that the entry
and this process wait for a core of the machine is left out, so that other load on the
machine does not count.
"""

import http.client
import select
import sys
import time
from pathlib import Path
from typing import Final, NamedTuple

INTERVAL_S: Final = 0.005
TIMEOUT_S: Final = 60.0
NS_PER_MS: Final = 1e6


class Scheduled(NamedTuple):
    """Hold how long a process ran, and how long it waited for a core."""

    ran_ns: int
    waited_ns: int


def scheduled(pid: str) -> Scheduled:
    """Return what the scheduler tells about the main thread of a process."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return Scheduled(int(ran), int(waited))


def probe(connection: http.client.HTTPConnection, pid: str) -> float:
    """Return how long the loop kept one check waiting."""
    entry, own = scheduled(pid), scheduled("self")
    sent_ns = time.monotonic_ns()
    connection.request("GET", "/bramleyturn/readiness")
    connection.getresponse().read()
    took_ns = time.monotonic_ns() - sent_ns
    entry_after, own_after = scheduled(pid), scheduled("self")
    waited_ns = entry_after.waited_ns - entry.waited_ns
    waited_ns += own_after.waited_ns - own.waited_ns
    ran_ns = entry_after.ran_ns - entry.ran_ns
    return max(took_ns - waited_ns, min(ran_ns, took_ns)) / NS_PER_MS


def main() -> None:
    """Probe until standard input ends."""
    address, pid = sys.argv[1:]
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    longest_ms = probe(connection, pid)
    print("ready", flush=True)
    while not select.select([sys.stdin], [], [], INTERVAL_S)[0]:
        longest_ms = max(longest_ms, probe(connection, pid))
    print(longest_ms)


if __name__ == "__main__":
    main()
