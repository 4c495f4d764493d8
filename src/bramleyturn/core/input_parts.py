"""Find the parts of a stage's input that many requests may share."""

from typing import Any, Final

import orjson

from bramleyturn.core.request_names import part_digest

MAX_INPUT_PARTS: Final = 16


def input_parts(value: Any) -> tuple[str, ...]:
    """Return names for the members of an object, the same wherever they occur.

    An object with one member, and any other value, is one whole.
    """
    if not isinstance(value, dict) or len(value) < 2:
        return ()
    members = list(value.items())[:MAX_INPUT_PARTS]
    return tuple(
        part_digest(orjson.dumps(member, option=orjson.OPT_SORT_KEYS))
        for member in members
    )
