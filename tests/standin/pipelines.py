"""Hold a pipeline for the tests of the stand-ins."""

from bramleyturn.core.model import Stage


def _stage(name: str, *after: str) -> Stage:
    return Stage(
        name=name,
        pool=name,
        after=after,
        repeatable=True,
        timeout_ms=1000,
        max_output_tokens=32,
        hedge=False,
    )


LESSON_STAGES = (
    _stage("encode"),
    _stage("retrieve", "encode"),
    _stage("rerank", "retrieve"),
    _stage("generate", "rerank"),
)
