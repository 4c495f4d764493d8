"""Parse the documents that the platform and other watches publish."""

from typing import Any, Final, NamedTuple

from bramleyturn.watch.errors import PlatformFailed, PlatformFailure

MAX_LISTED: Final = 10_000
STATES: Final = frozenset({"live", "leaving"})
ROLES: Final = frozenset({"entry", "watch", "server", "admin"})


class PublishedFolder(NamedTuple):
    """Hold a revision of the configuration folder as published."""

    revision: int
    files: dict[str, str]


class ListedInstance(NamedTuple):
    """Hold one entry of the platform's instance list."""

    name: str
    role: str
    zone: str
    address: str
    state: str


def parse_folder(document: Any) -> PublishedFolder | PlatformFailed:
    """Return the configuration folder in a document."""
    if not isinstance(document, dict):
        return malformed("not a JSON object")
    revision = document.get("revision")
    files = document.get("files")
    if not isinstance(revision, int) or not isinstance(files, dict):
        return malformed("revision or files missing")
    if not all(isinstance(text, str) for text in files.values()):
        return malformed("a file is not text")
    return PublishedFolder(revision, files)


def parse_instances(document: Any) -> tuple[ListedInstance, ...] | PlatformFailed:
    """Return the entries of an instance list, without malformed ones."""
    lines = document.get("instances") if isinstance(document, dict) else None
    if not isinstance(lines, list):
        return malformed("list of instances missing")
    parsed = (parse_instance(line) for line in lines[:MAX_LISTED])
    return tuple(instance for instance in parsed if instance is not None)


def parse_instance(line: Any) -> ListedInstance | None:
    """Return one entry of an instance list, None if it is malformed."""
    if not isinstance(line, dict):
        return None
    fields = [line.get(name) for name in ListedInstance._fields]
    if not all(isinstance(field, str) for field in fields):
        return None
    instance = ListedInstance(*(str(field) for field in fields))
    if instance.state not in STATES or instance.role not in ROLES:
        return None
    return instance


def malformed(detail: str) -> PlatformFailed:
    """Return the failure for a malformed document."""
    return PlatformFailed(PlatformFailure.MALFORMED, detail, None)
