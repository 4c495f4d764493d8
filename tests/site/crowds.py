"""Hold connections of many callers to an entry, and check what it uses meanwhile."""

import itertools
import os
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Final

from bramleyturn.standin.site.site import API_KEY
from tests.processes import RunningProcess
from tests.site.site_fleet import SiteFleet, wait_until
from tests.site.test_endless_answers import memory_bytes

# The memory of the smallest machine.
MEMORY_BYTES: Final = 152_000_000
# What the settings of these tests allow, and the part of it that is not for files.
FILE_DESCRIPTORS: Final = 600
MAX_DESCRIPTORS: Final = FILE_DESCRIPTORS - 200
LIMITS: Final = {
    "limits.memoryMb": "152",
    "limits.fileDescriptors": str(FILE_DESCRIPTORS),
}
SAMPLE_S: Final = 0.01
VISIT_LIMIT_S: Final = 5.0
READ_BYTES: Final = 65_536
# Closes a connection with a reset.
NO_LINGER: Final = struct.pack("ii", 1, 0)
_numbers = itertools.count(1)


def request(
    target: str = "/order/1",
    method: str = "GET",
    key: str = API_KEY,
    fields: Sequence[str] = (),
) -> bytes:
    """Return the head of a request with an id of its own."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: site.example",
        f"Bramleyturn-Attempt-Id: k{next(_numbers)}",
        "Bramleyturn-Deadline-Ms: 4000",
        f"Authorization: Bearer {key}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def new_key() -> str:
    """Return an API key that no other request has."""
    return f"key-{next(_numbers)}"


Visit = Callable[[socket.socket], None]


def send_and_read(data: Callable[[], bytes]) -> Visit:
    """Return a visit that sends bytes again and again, and reads what comes."""

    def visit(caller: socket.socket) -> None:
        reader = threading.Thread(target=read_all, args=(caller,))
        reader.start()
        try:
            while True:
                caller.sendall(data())
        finally:
            caller.close()
            reader.join()

    return visit


def send_and_reset(data: Callable[[], bytes], wait_s: float) -> Visit:
    """Return a visit that sends bytes and resets the connection a little later."""

    def visit(caller: socket.socket) -> None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        caller.sendall(data())
        time.sleep(wait_s)

    return visit


def read_all(caller: socket.socket) -> None:
    """Read until the connection ends."""
    with suppress(OSError):
        while caller.recv(READ_BYTES):
            pass


@contextmanager
def visiting(host: str, port: int, callers: int, visit: Visit) -> Iterator[None]:
    """Let callers visit one address again and again for the length of a block."""
    is_over = threading.Event()
    opened: set[socket.socket] = set()

    def repeat() -> None:
        while not is_over.is_set():
            with suppress(OSError), socket.create_connection((host, port)) as caller:
                opened.add(caller)
                caller.settimeout(VISIT_LIMIT_S)
                visit(caller)
            opened.discard(caller)

    with ThreadPoolExecutor(callers) as pool:
        for _ in range(callers):
            pool.submit(repeat)
        try:
            yield
        finally:
            is_over.set()
            for each in tuple(opened):
                with suppress(OSError):
                    each.shutdown(socket.SHUT_RDWR)


@contextmanager
def bounded(process: RunningProcess) -> Iterator[None]:
    """Check that a process lives and stays within its memory and descriptors."""
    folder = f"/proc/{process.pid}"
    Path(f"{folder}/clear_refs").write_text("5")
    is_over = threading.Event()
    most = 0

    def sample() -> None:
        nonlocal most
        while not is_over.wait(SAMPLE_S):
            with suppress(OSError):
                most = max(most, len(os.listdir(f"{folder}/fd")))

    sampler = threading.Thread(target=sample)
    sampler.start()
    try:
        yield
    finally:
        is_over.set()
        sampler.join()
    assert process.process.poll() is None
    peak_bytes = memory_bytes(process.pid, "VmHWM")
    print(f"memory {peak_bytes / 1e6:.0f} MB, descriptors {most}")
    assert peak_bytes <= MEMORY_BYTES
    assert most <= MAX_DESCRIPTORS


def assert_order_served(site: SiteFleet) -> None:
    """Check that an ordinary request is answered."""
    wait_until(lambda: is_order_served(site), "order served")


def is_order_served(site: SiteFleet) -> bool:
    """Return whether an ordinary request is answered within its deadline."""
    with suppress(OSError):
        return site.call("/order/1", "POST").status == 200
    return False
