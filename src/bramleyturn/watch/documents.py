"""Parse the documents that the platform and other watches publish."""

import re
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.watch.errors import PlatformFailed, PlatformFailure

MAX_LISTED: Final = 10_000
# The largest number that every reader of JSON keeps exactly (RFC 7493).
MAX_REVISION: Final = 2**53 - 1
LIST_NAME: Final = b'"instances":'
# A string, or what begins, divides or ends a list or an object.
JSON_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
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


def read_list(body: bytes) -> Any:
    """Return the document of an instance list, without lines that can't be read.

    Raise JSONDecodeError if it is no list.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        named = body.find(LIST_NAME)
        lines = _split_list(body, named + len(LIST_NAME)) if named >= 0 else None
        if lines is None:
            raise
        return {"instances": [_read_line(line) for line in lines]}


def _read_line(line: bytes) -> Any:
    try:
        return orjson.loads(line)
    except orjson.JSONDecodeError:
        return None


def _split_list(body: bytes, start: int) -> list[bytes] | None:
    """Return the elements of the list at ``start`` unread, None without its end."""
    elements: list[bytes] = []
    depth = 0
    begun = start
    for token in JSON_TOKEN.finditer(body, start):
        mark = token[0]
        if mark in (b"[", b"{"):
            depth += 1
            begun = token.end() if depth == 1 else begun
        elif mark in (b"]", b"}"):
            depth -= 1
        if depth <= 0 or (depth == 1 and mark == b","):
            elements.append(body[begun : token.start()])
            begun = token.end()
        if depth <= 0:
            return elements
    return None


def parse_folder(document: Any) -> PublishedFolder | PlatformFailed:
    """Return the configuration folder in a document."""
    if not isinstance(document, dict):
        return malformed("not a JSON object")
    revision = document.get("revision")
    files = document.get("files")
    if type(revision) is not int or not isinstance(files, dict):
        return malformed("revision or files missing")
    if revision > MAX_REVISION:
        return malformed("revision too large")
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
