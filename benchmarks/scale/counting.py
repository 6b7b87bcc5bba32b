"""Measures the cost of a call: CPU time, executed lines and allocated memory.

Lines and bytes do not depend on the machine or its load.
"""

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from types import FrameType
from typing import Any

REPEATS = 5


def median_cpu_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Median CPU time of one call, in microseconds."""
    times_us = []
    for _ in range(repeats):
        start_ns = time.process_time_ns()
        call()
        times_us.append((time.process_time_ns() - start_ns) / 1000)
    return statistics.median(times_us)


def executed_lines(call: Callable[[], object]) -> int:
    """The number of Python lines that a call executes; work inside C functions is not counted."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def allocated_bytes(make: Callable[[], object]) -> int:
    """Bytes that remain allocated after ``make``: those of its result, and others that it did not free."""
    started = not tracemalloc.is_tracing()
    if started:
        tracemalloc.start()
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    if started:
        tracemalloc.stop()
    del made
    return after - before


async def allocated_bytes_async(make: Callable[[], Awaitable[object]]) -> int:
    """Bytes that remain allocated after the coroutine function ``make``, without those of its result."""
    tracemalloc.start()
    try:
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        await make()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before
