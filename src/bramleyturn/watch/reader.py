"""Read configuration folders and instance lists over HTTP."""

from collections.abc import Callable
from typing import Any, Final

from treq.client import HTTPClient

from bramleyturn.core.operator_access import target_mac
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import JsonAnswer, call_json
from bramleyturn.watch.documents import (
    ListedInstance,
    PublishedFolder,
    parse_folder,
    parse_instances,
    read_list,
)
from bramleyturn.watch.errors import PlatformFailed, PlatformFailure

CALL_TIMEOUT_MS: Final = 2_000
# How long the bytes of a folder or list that has begun may pause.
GAP_MS: Final = 2_000
TARGET_MAC_HEADER: Final = "Bramleyturn-Mac"
STATUS_OK: Final = 200
STATUS_TOO_MANY: Final = 429


async def read_folder(
    client: HTTPClient,
    reactor: Any,
    url: str,
    after: int,
    wait_ms: int,
    key: str = "",
    count: Callable[[int], None] = lambda _size: None,
) -> PublishedFolder | PlatformFailed:
    """Return the folder at ``url`` by long polling for one newer than ``after``.

    ``url`` is the configuration of the platform or of another watch. Another watch
    requires that the request is signed with the `[peers]` key.
    """
    query = f"?after={after}&wait_ms={wait_ms}"
    target = "/" + url.split("/", 3)[3] + query
    answer = await call_json(
        client,
        reactor,
        "GET",
        f"{url}{query}",
        headers={TARGET_MAC_HEADER: target_mac(target, key)} if key else None,
        timeout_ms=wait_ms + CALL_TIMEOUT_MS,
        gap_ms=GAP_MS,
        count=count,
    )
    document = usable_document(answer)
    if isinstance(document, PlatformFailed):
        return document
    return parse_folder(document)


async def read_instances(
    client: HTTPClient,
    reactor: Any,
    url: str,
    count: Callable[[int], None] = lambda _size: None,
) -> tuple[ListedInstance, ...] | PlatformFailed:
    """Return the instance list at ``url``."""
    answer = await call_json(
        client,
        reactor,
        "GET",
        url,
        timeout_ms=CALL_TIMEOUT_MS,
        gap_ms=GAP_MS,
        count=count,
        parse=read_list,
    )
    document = usable_document(answer)
    if isinstance(document, PlatformFailed):
        return document
    return parse_instances(document)


def usable_document(answer: JsonAnswer | CallFailed) -> Any:
    """Return the document of a successful answer, or a failure."""
    if isinstance(answer, CallFailed):
        return PlatformFailed(PlatformFailure.UNREACHABLE, answer.detail, None)
    if answer.status == STATUS_TOO_MANY:
        return PlatformFailed(
            PlatformFailure.RATE_LIMITED, "too many reads", answer.retry_after_ms
        )
    if answer.status != STATUS_OK:
        return PlatformFailed(
            PlatformFailure.UNREACHABLE, f"status {answer.status}", None
        )
    return answer.document
