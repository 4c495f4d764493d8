"""Call an entry over plain sockets, slowly or in parts, and tell how each call ends."""

import http.client
import itertools
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from bramleyturn.standin.site.site import API_KEY
from tests.site.site_fleet import HOSTS, SiteFleet

# The platform sends SIGKILL this long after SIGTERM.
GRACE_S: Final = 8.0
TIMEOUT_S: Final = 15.0
# With small segments and a small window, little of an answer is in the sockets.
SMALL_SEGMENT_BYTES: Final = 1_400
SMALL_BUFFER_BYTES: Final = 32 * 1024
_ids = itertools.count(1)


class Pace(NamedTuple):
    """Hold how fast a caller reads: after a first pause a part, then a pause."""

    part_bytes: int = 64 * 1024
    pause_s: float = 0.0
    first_pause_s: float = 0.0


class CallEnd(NamedTuple):
    """Hold how a call ended: ``whole``, ``closed``, ``reset``, ``silent``, ``refused``.

    ``status`` is 0 without an answer. ``refused`` is a connection that was not opened.
    """

    how: str
    status: int
    body: bytes
    took_s: float

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.how == "whole"

    def __repr__(self) -> str:
        """Return a short description, without the body."""
        size = len(self.body)
        return f"<{self.how} {self.status}, {size} bytes, {self.took_s:.2f} s>"


def request_bytes(
    target: str = "/lookup/1",
    method: str = "GET",
    body: bytes = b"",
    attempt_id: str = "",
    version: str = "1.1",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a request as it is sent, with a deadline after all that is tested."""
    fields = {
        "Host": "site.example",
        "Bramleyturn-Attempt-Id": attempt_id or f"r{next(_ids):08x}",
        "Bramleyturn-Deadline-Ms": "20000",
        "Authorization": f"Bearer {API_KEY}",
        **({"Content-Length": str(len(body))} if body else {}),
        **(headers or {}),
    }
    lines = [f"{method} {target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def draft_bytes(attempt_id: str = "", version: str = "1.1") -> bytes:
    """Return a request for a stream with two pieces of a stage."""
    headers = {
        "Bramleyturn-Pieces": "2",
        "Bramleyturn-Piece-Key": "7c1e",
        "Bramleyturn-Token-Counts": "100,20",
        "Bramleyturn-Prompt-Prefix": "aa:80,bb:20",
        "Bramleyturn-Model": "m",
    }
    return request_bytes("/draft/1", "POST", b"x", attempt_id, version, headers)


def open_caller(
    fleet: SiteFleet, entry: int = 0, has_small_window: bool = False
) -> socket.socket:
    """Return a connection to an entry."""
    caller = socket.socket()
    caller.settimeout(TIMEOUT_S)
    if has_small_window:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        caller.connect((HOSTS[entry], fleet.ports["front"]))
    except OSError:
        caller.close()
        raise
    return caller


def read_answer(caller: socket.socket, pace: Pace | None = None) -> CallEnd:
    """Read one answer at the given pace until its end, or the connection's."""
    pace = pace or Pace()
    began_s = time.monotonic()
    response = http.client.HTTPResponse(caller)
    parts: list[bytes] = []
    status = 0
    how = "whole"
    try:
        response.begin()
        status = response.status
        time.sleep(pace.first_pause_s)
        while part := response.read(pace.part_bytes):
            parts.append(part)
            time.sleep(pace.pause_s)
        if response.length:
            how = "closed"
    except TimeoutError:
        how = "silent"
    except (http.client.BadStatusLine, http.client.IncompleteRead):
        how = "closed"
    except (ConnectionResetError, BrokenPipeError):
        how = "reset"
    return CallEnd(how, status, b"".join(parts), time.monotonic() - began_s)


def call(
    fleet: SiteFleet, request: bytes, pace: Pace | None = None, entry: int = 0
) -> CallEnd:
    """Send a request on a new connection and read its answer."""
    try:
        caller = open_caller(fleet, entry, has_small_window=pace is not None)
    except ConnectionRefusedError:
        return CallEnd("refused", 0, b"", 0.0)
    with caller:
        caller.sendall(request)
        return read_answer(caller, pace)


def sleep_until(at_s: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, at_s - time.monotonic()))


@contextmanager
def stopping(fleet: SiteFleet, entry: int = 0) -> Iterator[float]:
    """Send SIGTERM, and SIGKILL after the grace period; yield when it was sent."""
    process = fleet.entries[entry].process
    sent_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    killer = threading.Timer(sent_s + GRACE_S - time.monotonic(), process.kill)
    killer.start()
    try:
        yield sent_s
    finally:
        killer.cancel()
        killer.join()
