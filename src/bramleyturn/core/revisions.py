"""Keep the newest accepted revision of the configuration in force."""

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Final, NamedTuple

from bramleyturn.core.configuration import (
    LoadCache,
    RefusedConfiguration,
    load_configuration,
)
from bramleyturn.core.fault import Fault
from bramleyturn.core.model import Configuration

MAX_KEPT_REFUSALS: Final = 16
MAX_KEPT_FAULTS: Final = 100
LENGTH_PREFIX_BYTES: Final = 8


class InForce(NamedTuple):
    """Describe the revision that was accepted and is now in force."""

    configuration: Configuration
    files: Mapping[str, str]
    content_sha256: str
    source: str
    accepted_ms: int


class Stale(NamedTuple):
    """Describe an offered revision that is not newer than the one in force."""

    revision: int
    in_force_revision: int


class Refused(NamedTuple):
    """Describe a refused revision and why it was refused.

    ``faults`` holds at most ``MAX_KEPT_FAULTS`` of its ``fault_count`` faults.
    ``first_ms`` and ``source`` are when and by whom it was first offered.
    """

    revision: int
    content_sha256: str
    faults: tuple[Fault, ...]
    fault_count: int
    source: str
    first_ms: int


class Revisions:
    """Hold the revision in force and the refused ones."""

    def __init__(self) -> None:
        self.in_force: InForce | None = None
        self.cache = LoadCache()
        self.refusals: OrderedDict[tuple[int, str], Refused] = OrderedDict()

    @property
    def revision(self) -> int:
        """The revision in force, 0 if there is none."""
        return self.in_force.configuration.revision if self.in_force else 0

    @property
    def refused(self) -> tuple[Refused, ...]:
        """The refused revisions, the latest one last."""
        return tuple(self.refusals.values())


def offer(
    state: Revisions,
    revision: int,
    files: Mapping[str, str],
    source: str,
    now_ms: int,
) -> InForce | Stale | Refused:
    """Put ``files`` in force if they are valid and newer than those in force.

    A revision in force is only ever replaced by a newer one. Different content under
    the revision number in force is refused. ``source`` names who offered the revision.
    """
    if 0 < revision < state.revision:
        return Stale(revision, state.revision)
    digest = content_sha256(files)
    if state.in_force and revision == state.revision:
        if digest == state.in_force.content_sha256:
            return Stale(revision, state.revision)
        fault = _other_content_fault(state.in_force, digest)
        return _refuse(state, revision, digest, (fault,), source, now_ms)
    known = state.refusals.get((revision, digest))
    if known is not None:
        return known
    if revision < 1:
        fault = Fault("(revision)", 0, "", "", "a revision from 1", str(revision))
        return _refuse(state, revision, digest, (fault,), source, now_ms)
    loaded = load_configuration(revision, files, state.cache)
    if isinstance(loaded, RefusedConfiguration):
        return _refuse(state, revision, digest, loaded.faults, source, now_ms)
    state.in_force = InForce(loaded, dict(files), digest, source, now_ms)
    return state.in_force


def content_sha256(files: Mapping[str, str]) -> str:
    """Return the SHA-256 of the names and texts of ``files`` in hexadecimal."""
    digest = hashlib.sha256()
    for file in sorted(files):
        for text in (file, files[file]):
            encoded = text.encode("utf-8", "surrogatepass")
            digest.update(len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big"))
            digest.update(encoded)
    return digest.hexdigest()


def _other_content_fault(in_force: InForce, digest: str) -> Fault:
    """Return the fault of different content under the revision in force."""
    expected = (
        f"the content with SHA-256 {in_force.content_sha256}, in force under this "
        f"revision since {in_force.source} offered it"
    )
    return Fault("(all files)", 0, "", "", expected, f"SHA-256 {digest}")


def _refuse(
    state: Revisions,
    revision: int,
    digest: str,
    faults: tuple[Fault, ...],
    source: str,
    now_ms: int,
) -> Refused:
    """Record and return a refusal; the oldest beyond the limit is dropped."""
    known = state.refusals.get((revision, digest))
    if known is not None:
        return known
    refused = Refused(
        revision, digest, faults[:MAX_KEPT_FAULTS], len(faults), source, now_ms
    )
    state.refusals[revision, digest] = refused
    if len(state.refusals) > MAX_KEPT_REFUSALS:
        state.refusals.popitem(last=False)
    return refused
