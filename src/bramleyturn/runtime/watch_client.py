"""Follow the configuration and instance list of this instance's watch."""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from treq.client import HTTPClient
from twisted.internet.task import deferLater

from bramleyturn.core.configuration import (
    LoadCache,
    RefusedConfiguration,
    load_in_steps,
)
from bramleyturn.core.model import Configuration
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.http_client import call_json
from bramleyturn.watch.documents import ListedInstance, parse_instances
from bramleyturn.watch.errors import PlatformFailed
from bramleyturn.watch.reader import read_folder, usable_document

WAIT_MS: Final = 10_000
RETRY_MS: Final = 200
LIST_WAIT_MS: Final = 2_000
LIST_TIMEOUT_MS: Final = 2_000

logger = logging.getLogger(__name__)


async def report_newer_revision(
    client: HTTPClient, reactor: Any, watch: str, revision: int, seen_revision: int
) -> None:
    """Tell the watch that a peer has a newer revision in force."""
    await call_json(
        client,
        reactor,
        "GET",
        f"http://{watch}/v1/config?after={revision}&wait_ms=0&seen={seen_revision}",
        timeout_ms=LIST_TIMEOUT_MS,
    )


class InstanceList(NamedTuple):
    """Hold the platform's instance list; ``age_ms`` is its age."""

    instances: tuple[ListedInstance, ...]
    age_ms: int


async def follow_configuration(
    client: HTTPClient,
    reactor: Any,
    watch: str,
    accept: Callable[[Configuration], None],
) -> None:
    """Call ``accept`` with each newer configuration of the watch."""
    revision = 0
    cache = LoadCache()
    while True:
        read = await read_folder(
            client, reactor, f"http://{watch}/v1/config", revision, WAIT_MS
        )
        if isinstance(read, PlatformFailed):
            await deferLater(reactor, RETRY_MS / MS_PER_S)
            continue
        if read.revision <= revision or not read.files:
            continue
        loaded = await load_in_turns(reactor, read.revision, read.files, cache)
        if isinstance(loaded, RefusedConfiguration):
            logger.error(
                "configuration from the watch refused",
                extra={"revision": read.revision},
            )
            await deferLater(reactor, RETRY_MS / MS_PER_S)
            continue
        revision = read.revision
        logger.info("configuration in force", extra={"revision": revision})
        accept(loaded)


async def load_in_turns(
    reactor: Any, revision: int, files: Mapping[str, str], cache: LoadCache
) -> Configuration | RefusedConfiguration:
    """Load a configuration in steps and let the reactor run in between."""
    steps = load_in_steps(revision, files, cache)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            loaded: Configuration | RefusedConfiguration = stop.value
            return loaded
        await deferLater(reactor, 0)


async def follow_instances(
    client: HTTPClient,
    reactor: Any,
    watch: str,
    accept: Callable[[InstanceList], None],
) -> None:
    """Call ``accept`` with the platform's list when it changes and at intervals."""
    version = 0
    instances: tuple[ListedInstance, ...] = ()
    while True:
        answer = await call_json(
            client,
            reactor,
            "GET",
            f"http://{watch}/v1/instances?after={version}&wait_ms={LIST_WAIT_MS}",
            timeout_ms=LIST_WAIT_MS + LIST_TIMEOUT_MS,
        )
        document = usable_document(answer)
        if isinstance(document, PlatformFailed) or not isinstance(document, dict):
            version = 0
            await deferLater(reactor, RETRY_MS / MS_PER_S)
            continue
        if "instances" in document:
            parsed = parse_instances(document)
            instances = () if isinstance(parsed, PlatformFailed) else parsed
            version = document.get("version", 0)
        if isinstance(document.get("age_ms"), int):
            accept(InstanceList(instances, document["age_ms"]))
        if not version or document.get("age_ms") is None:
            # The watch answers such a request at once, without long polling.
            await deferLater(reactor, RETRY_MS / MS_PER_S)
