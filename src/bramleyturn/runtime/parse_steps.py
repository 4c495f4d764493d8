"""Divide received bytes into steps that take about equally long to parse.

Parsers take as long for a short line, or a chunk of one byte, as for a long one.
"""

from typing import Final

STEP_BYTES: Final = 64 * 1024
# Steps of fewer lines need not be short.
MAX_STEP_LINES: Final = 512
SHORT_STEP_BYTES: Final = 2 * 1024


def take_step(unparsed: bytearray) -> tuple[bytes, int]:
    """Take the bytes to parse next; return them and how many lines they may have."""
    data = bytes(memoryview(unparsed)[:STEP_BYTES])
    lines = data.count(b"\n")
    if lines > MAX_STEP_LINES:
        data = data[:SHORT_STEP_BYTES]
        lines = data.count(b"\n")
    del unparsed[: len(data)]
    return data, lines


def take_bytes(unparsed: bytearray, most: int) -> bytes:
    """Take so many bytes, or all if there are fewer."""
    data = bytes(memoryview(unparsed)[:most])
    del unparsed[: len(data)]
    return data
