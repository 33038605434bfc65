"""Settings of the C library's allocator.

By default it raises the size from which a buffer has pages of its own once
such a buffer is freed, up to 32 MB. Smaller ones come from a heap for each of
several threads, whose free parts stay with the process.
"""

import ctypes
import logging

#: Larger buffers have pages of their own, which the system gets back.
OWN_PAGES_BYTES = 131_072
#: Python runs one thread at a time, so few heaps serve all of them.
MAX_HEAPS = 2
# Numbers of the parameters in <malloc.h>.
_MMAP_THRESHOLD = -3
_ARENA_MAX = -8

_log = logging.getLogger(__name__)


def return_freed_buffers() -> None:
    """Have large buffers return to the system when they are freed.

    Call it before threads are started. A C library without these parameters
    keeps its own.
    """
    library = ctypes.CDLL(None)
    try:
        set_parameter = library.mallopt
    except AttributeError as error:
        _log.info('allocator unchanged', extra={'error': str(error)})
        return
    set_parameter(_MMAP_THRESHOLD, OWN_PAGES_BYTES)
    set_parameter(_ARENA_MAX, MAX_HEAPS)
