"""Check the references between the sections of a configuration."""

from collections.abc import Iterator, Mapping
from typing import Final, TypeAlias

from bramleyturn.core.fault import Fault, quote
from bramleyturn.core.model import PoolKind
from bramleyturn.core.pipeline_order import Cycle, last_stages, order_stages
from bramleyturn.core.schema import ALL_PIPELINES, NO_STAGE
from bramleyturn.core.section_values import (
    STAGE_SEPARATOR,
    ParsedSection,
    key_fault,
    section_fault,
)

Sections: TypeAlias = Mapping[str, ParsedSection]
SectionsByKind: TypeAlias = Mapping[str, Sections]

DIGEST_KEYS: Final = ("key_sha256", "previous_key_sha256")


def check_references(by_kind: SectionsByKind) -> Iterator[Fault]:
    """Yield every fault in how sections refer to each other.

    A section with faults of its own still counts as present, so that one fault is
    not reported twice.
    """
    yield from _check_pools(by_kind["pool"])
    yield from _check_servers(by_kind["server"], by_kind["pool"])
    for pipeline in by_kind["pipeline"].values():
        yield from _check_pipeline(pipeline, by_kind)
    for stage in by_kind["stage"].values():
        yield from _check_stage(stage, by_kind)
    yield from _check_workspaces(by_kind["workspace"], by_kind["pipeline"])


def stage_predecessors(
    pipeline: ParsedSection, stages: Sections
) -> dict[str, tuple[str, ...]]:
    """Return the stages that each stage of ``pipeline`` depends on.

    Names that are not stages of the pipeline are left out.
    """
    names: tuple[str, ...] = pipeline.values.get("stages", ())
    predecessors: dict[str, tuple[str, ...]] = {}
    previous: tuple[str, ...] = ()
    for name in names:
        stage = stages.get(stage_section_name(pipeline.name, name))
        after = stage.values.get("after", ()) if stage else ()
        if after == (NO_STAGE,):
            predecessors[name] = ()
        else:
            known = tuple(earlier for earlier in after if earlier in names)
            predecessors[name] = known if after else previous
        previous = (name,)
    return predecessors


def stage_section_name(pipeline: str, stage: str) -> str:
    """Return the name in the section header of a stage."""
    return f"{pipeline}{STAGE_SEPARATOR}{stage}"


def _check_pools(pools: Sections) -> Iterator[Fault]:
    """Yield a fault for each engine pool without a model."""
    for pool in pools.values():
        if pool.values.get("kind") == PoolKind.ENGINE and not pool.values.get(
            "model", "faulty"
        ):
            yield key_fault(
                pool.source, "model", "the model that the engines run", "nothing"
            )


def _check_servers(servers: Sections, pools: Sections) -> Iterator[Fault]:
    """Yield a fault for each server with an unknown pool or a shared address."""
    owners: dict[str, str] = {}
    for server in servers.values():
        yield from _check_pool_exists(server, pools)
        address = server.values.get("address")
        if address is None:
            continue
        owner = owners.setdefault(address, server.name)
        if owner != server.name:
            yield key_fault(
                server.source,
                "address",
                "an address that no other server has",
                f"{address}, the address of [server {owner}]",
            )


def _check_pool_exists(section: ParsedSection, pools: Sections) -> Iterator[Fault]:
    """Yield a fault if the pool that ``section`` names does not exist."""
    pool = section.values.get("pool")
    if pool is not None and pool not in pools:
        yield key_fault(
            section.source, "pool", "the name of a [pool NAME] section", quote(pool)
        )


def _check_pipeline(
    pipeline: ParsedSection, by_kind: SectionsByKind
) -> Iterator[Fault]:
    """Yield the faults of the stages and the deadline of one pipeline."""
    stages = by_kind["stage"]
    names: tuple[str, ...] = pipeline.values.get("stages", ())
    for name in names:
        section_name = stage_section_name(pipeline.name, name)
        if section_name not in stages:
            yield key_fault(
                pipeline.source,
                "stages",
                f"a section [stage {section_name}] for the stage {quote(name)}",
                "no such section",
            )
    yield from _check_order(pipeline, stages)
    longest_ms = by_kind["limits"][""].values.get("max_deadline_ms")
    deadline_ms = pipeline.values.get("deadline_ms")
    if longest_ms and deadline_ms and deadline_ms > longest_ms:
        yield key_fault(
            pipeline.source,
            "deadline_ms",
            f"at most max_deadline_ms of [limits] ({longest_ms})",
            str(deadline_ms),
        )


def _check_order(pipeline: ParsedSection, stages: Sections) -> Iterator[Fault]:
    """Yield a fault if the stages form a cycle or end in more than one stage."""
    names: tuple[str, ...] = pipeline.values.get("stages", ())
    after = stage_predecessors(pipeline, stages)
    ordered = order_stages(names, after)
    if isinstance(ordered, Cycle):
        yield key_fault(
            pipeline.source,
            "stages",
            "stages without a dependency cycle",
            "the cycle " + " after ".join(ordered.stages),
        )
        return
    last = last_stages(names, after)
    if len(last) > 1:
        yield key_fault(
            pipeline.source,
            "stages",
            "one last stage, whose output is the answer",
            "several: " + ", ".join(last),
        )


def _check_stage(stage: ParsedSection, by_kind: SectionsByKind) -> Iterator[Fault]:
    """Yield the faults of one stage."""
    yield from _check_pool_exists(stage, by_kind["pool"])
    yield from _check_stage_pipeline(stage, by_kind["pipeline"])
    repeatable = stage.values.get("repeatable", True)
    if not repeatable and stage.values.get("hedge"):
        yield key_fault(
            stage.source, "hedge", "no, as the stage is not repeatable", "yes"
        )
    tickets = by_kind["tickets"][""]
    if not repeatable and tickets.values.get("key") == "":
        yield key_fault(
            stage.source,
            "repeatable",
            "yes, or a key in [tickets] to sign the tickets with",
            "no",
        )


def _check_stage_pipeline(stage: ParsedSection, pipelines: Sections) -> Iterator[Fault]:
    """Yield the faults in the references of a stage to its pipeline."""
    pipeline_name, _, name = stage.name.partition(STAGE_SEPARATOR)
    pipeline = pipelines.get(pipeline_name)
    if pipeline is None:
        yield section_fault(
            stage.source, "the stage of a [pipeline NAME] section", quote(pipeline_name)
        )
        return
    names: tuple[str, ...] | None = pipeline.values.get("stages")
    if names is None:
        return
    if name not in names:
        yield section_fault(
            stage.source,
            f"one of the stages of [pipeline {pipeline_name}]",
            quote(name),
        )
    after: tuple[str, ...] = stage.values.get("after", ())
    for earlier in after:
        if earlier not in names and after != (NO_STAGE,):
            yield key_fault(
                stage.source,
                "after",
                f"stages of [pipeline {pipeline_name}]",
                quote(earlier),
            )


def _check_workspaces(workspaces: Sections, pipelines: Sections) -> Iterator[Fault]:
    """Yield a fault for each unknown pipeline and each key shared by workspaces."""
    owners: dict[str, str] = {}
    for workspace in workspaces.values():
        allowed: tuple[str, ...] = workspace.values.get("pipelines", ())
        for name in allowed:
            if name not in pipelines and allowed != (ALL_PIPELINES,):
                yield key_fault(
                    workspace.source,
                    "pipelines",
                    "names of [pipeline NAME] sections",
                    quote(name),
                )
        for key in DIGEST_KEYS:
            digest = workspace.values.get(key)
            if not digest:
                continue
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                yield key_fault(
                    workspace.source,
                    key,
                    "a key that no other workspace has",
                    f"the key of [workspace {owner}]",
                )
