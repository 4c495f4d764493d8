"""Write the reference of all settings from the schema."""

from typing import Final

from bramleyturn.core.schema import PROCESS, PUBLISHED, Key, SectionSchema

INTRODUCTION: Final = """\
# Settings

Written by `bramleyturn settings-reference` from the `core/schema_*.py` modules: change
those, not this page.

The published configuration is a folder of INI files, merged in the order of their
names. A later file may repeat a section and override single keys; within one file
each section and key stands once. A comment starts with `;` or `#`, at the start of a
line or after a space. Names of keys ignore case. A list may go on in indented lines.

`bramleyturn check FOLDER` lists every fault, and `bramleyturn explain FOLDER` shows
each value in force and the file it comes from. A key without a default is required.
"""
TABLE_HEAD: Final = """\
| key | type | unit | bounds | default | meaning |
|---|---|---|---|---|---|
"""


def settings_reference() -> str:
    """Return the reference as Markdown."""
    parts = [INTRODUCTION]
    parts += map(_section_reference, PUBLISHED)
    parts.append("# Settings file of a process\n")
    parts.append(_section_reference(PROCESS))
    return "\n".join(parts)


def _section_reference(schema: SectionSchema) -> str:
    """Return the part on one kind of section."""
    header = f"{schema.kind} {schema.named}".strip()
    rows = "".join(map(_row, schema.keys))
    return f"## `[{header}]`\n\n{schema.meaning}\n\n{TABLE_HEAD}{rows}"


def _row(key: Key) -> str:
    """Return the row of one setting."""
    cells = (
        f"`{key.name}`",
        key.type.label,
        key.unit,
        key.type.bounds,
        _default(key),
        key.meaning + (" Never shown." if key.secret else ""),
    )
    return "| " + " | ".join(cells) + " |\n"


def _default(key: Key) -> str:
    """Return how to show the default of a setting."""
    if key.default is None:
        return "required"
    return f"`{key.default}`" if key.default else "empty"
