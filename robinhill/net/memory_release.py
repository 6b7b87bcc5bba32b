"""Returns freed memory to the system after a flood of clients.

Otherwise the C library keeps free blocks between used ones, and the collector of cyclic garbage, which
runs after a number of allocations, does not run in an idle process.
"""

import asyncio
import gc
import logging
import time

from robinhill.memory_budget import MemoryBudget

log = logging.getLogger(__name__)

RELEASE_INTERVAL_S = 1.0
# Memory is returned once less than this is held, after more than this was held.
LARGE_BYTES = 4 * 1024 * 1024
RELEASES = 4  # after each flood: connections and requests end one after another


async def release_periodically(memory: MemoryBudget) -> None:
    """Return freed memory to the system whenever far less is held for clients than before."""
    remaining = 0
    while True:
        await asyncio.sleep(RELEASE_INTERVAL_S)
        if memory.held_bytes > LARGE_BYTES:
            continue
        if memory.peak_bytes > LARGE_BYTES:
            memory.reset_peak()
            remaining = RELEASES
        if remaining:
            remaining -= 1
            release_free_memory()


def release_free_memory() -> None:
    """Collect cyclic garbage, and call the C library's ``malloc_trim`` if it has that function."""
    import ctypes  # needed only after a flood; its import takes half a megabyte

    started = time.monotonic()
    gc.collect()
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    released = bool(malloc_trim and malloc_trim(0))
    log.debug("memory_released", extra={"released": released, "took_s": time.monotonic() - started})
