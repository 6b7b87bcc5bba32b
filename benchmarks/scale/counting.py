"""What a call costs: time, executed lines, allocated memory. Lines and bytes are the same on each machine."""

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from types import FrameType
from typing import Any

REPEATS = 5


def microseconds(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Median processor time of one call, in microseconds."""
    taken = []
    for _ in range(repeats):
        begun = time.process_time_ns()
        call()
        taken.append((time.process_time_ns() - begun) / 1000)
    return statistics.median(taken)


def executed_lines(call: Callable[[], object]) -> int:
    """Lines of Python that a call executes: its steps, without those inside functions written in C."""
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
    """Bytes that are held by what ``make`` returns, and by what it left behind elsewhere."""
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


async def allocated_by(make: Callable[[], Awaitable[object]]) -> int:
    """The same as `allocated_bytes` of work that waits: bytes that it has left behind."""
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
