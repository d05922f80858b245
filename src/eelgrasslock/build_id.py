"""The id of the build that runs, to tell daemons of several builds apart."""

import functools
import pathlib

UNKNOWN = "unknown"
_FILE = pathlib.Path(__file__).with_name("build_id.txt")


@functools.cache
def read_build_id() -> str:
    """Return the id that the build wrote, a digest of the sources."""
    try:
        return _FILE.read_text().strip() or UNKNOWN
    except OSError:
        return UNKNOWN
