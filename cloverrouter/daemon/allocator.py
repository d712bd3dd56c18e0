"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

MMAP_THRESHOLD_OPTION = -3  # M_MMAP_THRESHOLD of mallopt(3)
MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Makes the allocator give large blocks back to the system once they are freed.

    By default glibc raises the threshold for such blocks when the first of them is freed. Large answers of
    slightly different sizes then fragment the heap to many times what is held. Other C libraries may not have
    the option, and need no setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
