"""Measures the cost of one replica of the shared state: `python -m benchmarks.mesh_replica`.

Prints the CPU time of this process for each call (best of five rounds), and the memory per record, with
10,000 records of requests with an idempotency key. Takes some seconds and uses no network.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from robinhill.mesh import record_kinds
from robinhill.mesh import snapshot as snapshot_file
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

RECORD_COUNT = 10_000
NOW_US = 1_800_000_000_000_000
WINDOW_US = 600_000_000
ORIGIN = "scheduler-1.zone-a"


def create_replica() -> Replica:
    return Replica(
        ORIGIN,
        NOW_US,
        (record_kinds.DRAIN_KIND, record_kinds.EVIDENCE_KIND, record_kinds.request_kind(WINDOW_US)),
    )


def outcome(state: int, i: int) -> record_kinds.Outcome:
    return record_kinds.Outcome(state, 1, NOW_US + i, WINDOW_US, "zone-a", ORIGIN, bytes(16))


def cpu_s(
    call: Callable[[], object], prepare: Callable[[], object] = lambda: None, calls_per_round: int = 1
) -> float:
    """Return the CPU time of one call in seconds: the best of five rounds of ``calls_per_round`` calls.

    ``prepare`` is called before each round and is not measured.
    """
    best = float("inf")
    for _ in range(5):
        prepare()
        start_s = time.process_time()
        for _ in range(calls_per_round):
            call()
        best = min(best, (time.process_time() - start_s) / calls_per_round)
    return best


def main() -> None:
    source = create_replica()
    keys = [f"club-{i % 50}/{i:08d}" for i in range(RECORD_COUNT)]
    for i, key in enumerate(keys):
        source.write(NOW_US + i, "request", key, outcome(record_kinds.PLACED, i))
    encoded = msgspec.msgpack.encode(list(source.snapshot()))
    decode = msgspec.msgpack.Decoder(list[Record]).decode
    replicas = [create_replica()]

    def merge_all(records: list[Record]) -> None:
        for record in records:
            replicas[0].merge(NOW_US + RECORD_COUNT, record)

    tracemalloc.start()
    merge_all(decode(encoded))
    gc.collect()
    bytes_per_record = tracemalloc.get_traced_memory()[0] / RECORD_COUNT
    tracemalloc.stop()
    initial = decode(encoded)
    now_us = NOW_US + 2 * RECORD_COUNT
    updated = [
        source.write(now_us, "request", key, outcome(record_kinds.ENDED, i)) for i, key in enumerate(keys)
    ]

    def create_empty() -> None:
        replicas[0] = create_replica()

    def create_filled() -> None:
        create_empty()
        merge_all(initial)

    def write_and_digest() -> None:
        replicas[0].write(now_us, "drain", "s", record_kinds.Drain(now_us, ORIGIN, True, ""))
        replicas[0].digest(now_us)

    def read_all_changes() -> None:
        cursor = 0
        while cursor < replicas[0].head:
            cursor = replicas[0].since(cursor, 256)[1]

    def encode_snapshot() -> bytes:
        return b"".join(
            snapshot_file.encode(
                snapshot_file.SnapshotHeader("home", ORIGIN, 1, now_us), replicas[0].snapshot()
            )
        )

    print(f"{len(encoded) / RECORD_COUNT:.0f} bytes per record encoded, {bytes_per_record:.0f} in memory")
    print(
        f"merge: {RECORD_COUNT / cpu_s(lambda: merge_all(initial), create_empty):,.0f} new records/s", end=""
    )
    print(
        f", {RECORD_COUNT / cpu_s(lambda: merge_all(updated), create_filled):,.0f} updated records/s", end=""
    )
    print(f", {RECORD_COUNT / cpu_s(lambda: merge_all(updated)):,.0f} unchanged records/s")
    print(
        f"digest: {cpu_s(write_and_digest, calls_per_round=500) * 1e6:.1f} us including a write before it",
        end="",
    )
    print(
        f", {cpu_s(lambda: replicas[0].digest(now_us), calls_per_round=10_000) * 1e6:.2f} us cached", end=""
    )
    print(
        f"; records of one range {cpu_s(lambda: replicas[0].in_range(7), calls_per_round=500) * 1e6:.1f} us"
    )
    print(
        f"read all changes {cpu_s(read_all_changes) * 1e3:.1f} ms, "
        f"encode a snapshot {cpu_s(encode_snapshot) * 1e3:.1f} ms",
        end="",
    )
    snapshot = encode_snapshot()
    print(
        f", decode {cpu_s(lambda: snapshot_file.decode(snapshot, 'home')) * 1e3:.1f} ms"
        f" for {len(snapshot):,} bytes"
    )
    expired_us = now_us + WINDOW_US + 60_000_000
    print(
        f"collect: {cpu_s(lambda: replicas[0].collect(expired_us), create_filled) * 1e3:.1f} ms"
        f" for {1_000:,} expired records"
    )


if __name__ == "__main__":
    main()
