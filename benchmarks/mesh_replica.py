"""What one copy of shared state costs: `python -m benchmarks.mesh_replica`. Some seconds, no network.

CPU of this process for each call (best of five), and memory a record, at 10,000 keyed requests.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from robinhill.mesh import record_kinds
from robinhill.mesh import snapshot as rest
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

RECORDS = 10_000
NOW_US = 1_800_000_000_000_000
WINDOW_US = 600_000_000
ORIGIN = "scheduler-1.zone-a"


def fresh() -> Replica:
    return Replica(
        ORIGIN,
        NOW_US,
        (record_kinds.DRAIN_KIND, record_kinds.EVIDENCE_KIND, record_kinds.request_kind(WINDOW_US)),
    )


def outcome(state: int, i: int) -> record_kinds.Outcome:
    return record_kinds.Outcome(state, 1, NOW_US + i, WINDOW_US, "zone-a", ORIGIN, bytes(16))


def cpu_s(call: Callable[[], object], prepare: Callable[[], object] = lambda: None, times: int = 1) -> float:
    """CPU time of one call in seconds: the best of five rounds of ``times`` calls."""
    best = float("inf")
    for _ in range(5):
        prepare()
        begun = time.process_time()
        for _ in range(times):
            call()
        best = min(best, (time.process_time() - begun) / times)
    return best


def main() -> None:
    source = fresh()
    keys = [f"club-{i % 50}/{i:08d}" for i in range(RECORDS)]
    for i, key in enumerate(keys):
        source.write(NOW_US + i, "request", key, outcome(record_kinds.PLACED, i))
    packed = msgspec.msgpack.encode(list(source.snapshot()))
    decode = msgspec.msgpack.Decoder(list[Record]).decode
    copies = [fresh()]

    def take_all(records: list[Record]) -> None:
        for record in records:
            copies[0].merge(NOW_US + RECORDS, record)

    tracemalloc.start()
    take_all(decode(packed))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] / RECORDS
    tracemalloc.stop()
    first = decode(packed)
    now = NOW_US + 2 * RECORDS
    second = [source.write(now, "request", key, outcome(record_kinds.ENDED, i)) for i, key in enumerate(keys)]

    def empty() -> None:
        copies[0] = fresh()

    def filled() -> None:
        empty()
        take_all(first)

    def repair() -> None:
        copies[0].write(now, "drain", "s", record_kinds.Drain(now, ORIGIN, True, ""))
        copies[0].digest(now)

    def walk() -> None:
        cursor = 0
        while cursor < copies[0].head:
            cursor = copies[0].since(cursor, 256)[1]

    def save() -> bytes:
        return b"".join(rest.encode(rest.SnapshotHeader("home", ORIGIN, 1, now), copies[0].snapshot()))

    print(f"on the wire {len(packed) / RECORDS:.0f} bytes a record, in memory {memory:.0f}")
    print(f"take: new {RECORDS / cpu_s(lambda: take_all(first), empty):,.0f} records/s", end="")
    print(f", merging {RECORDS / cpu_s(lambda: take_all(second), filled):,.0f}", end="")
    print(f", known already {RECORDS / cpu_s(lambda: take_all(second)):,.0f}")
    print(f"digest: {cpu_s(repair, times=500) * 1e6:.1f} us with a write before each", end="")
    print(f", {cpu_s(lambda: copies[0].digest(now), times=10_000) * 1e6:.2f} us unchanged", end="")
    print(f"; one range {cpu_s(lambda: copies[0].in_range(7), times=500) * 1e6:.1f} us")
    print(f"all changes {cpu_s(walk) * 1e3:.1f} ms, save {cpu_s(save) * 1e3:.1f} ms", end="")
    file = save()
    print(f", read {cpu_s(lambda: rest.decode(file, 'home')) * 1e3:.1f} ms of {len(file):,} bytes")
    over = now + WINDOW_US + 60_000_000
    print(f"collect: {cpu_s(lambda: copies[0].collect(over), filled) * 1e3:.1f} ms for {1_000:,} records")


if __name__ == "__main__":
    main()
