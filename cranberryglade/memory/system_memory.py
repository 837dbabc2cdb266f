"""Gives freed memory back to the system."""

import ctypes
import functools

M_MMAP_THRESHOLD = -3
"""Parameter of mallopt: least size of a block that is mapped on its own."""

MAPPED_BYTES = 131_072
"""Blocks from this size are mapped on their own, and unmapped when freed."""


@functools.cache
def _library() -> ctypes.CDLL | None:
    try:
        library = ctypes.CDLL("libc.so.6")
    except OSError:
        return None
    is_glibc = hasattr(library, "mallopt") and hasattr(library, "malloc_trim")
    return library if is_glibc else None


def map_large_blocks() -> None:
    """Makes the allocator map each large block on its own.

    By default glibc raises the size from which it does so when such a block is
    freed. Large bodies then lie between small blocks of the heap, and their
    memory stays with the process.
    """
    if (library := _library()) is not None:
        library.mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)


def trim() -> None:
    """Gives the free parts of the heap back to the system."""
    if (library := _library()) is not None:
        library.malloc_trim(0)
