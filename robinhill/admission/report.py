"""The current state of admission control as plain values, which operators read as JSON."""

from typing import Any

from robinhill.admission.admission import Admission

HEAVIEST_TENANTS = 10


def report(admission: Admission) -> dict[str, Any]:
    """The state of queues, windows, limits and accounts. Operators' tools rely on its keys."""
    return {
        "queued": admission.round_robin.length,
        "let_in": admission.admitted,
        "refused": dict(sorted((reason.value, count) for reason, count in admission.rejected.items())),
        "window": [int(w.size) for w in admission.windows.windows],
        "places": [int(w.slots) for w in admission.windows.windows],
        "inside": [w.in_window for w in admission.windows.windows],
        "unplaced": list(admission.windows.unplaced),
        "running": admission.throughput.running,
        "rate": round(admission.throughput.rate, 2),
        "class_ms": [round(c / 1000, 1) for c in admission.costs.by_class],
        "accounts": len(admission.accounts.by_tenant),
        "tenants_present": len(admission.limits.usage),
        "promises": {
            "open": admission.promises.open_count,
            "right": admission.promises.accurate,
            "short": admission.promises.too_short,
            "long": admission.promises.too_long,
        },
        "heaviest": [
            {
                "tenant": a.name,
                "served_s": round(a.served_us / 1e6, 3),
                "jobs": a.jobs,
                "ratio": round(a.ratio, 2),
                "weight": a.queue.weight,
                "queued": a.queue.length,
                "refused": a.rejected,
            }
            for a in admission.accounts.heaviest(HEAVIEST_TENANTS)
        ],
    }
