"""Define factors between units."""

from typing import Final

MS_PER_S: Final = 1_000
# The platform and the models count sizes in decimal units.
BYTES_PER_MEGABYTE: Final = 1_000_000
