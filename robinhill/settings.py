"""Translates start-up options into ``api.Settings``, the settings of the decision module (robinhill.logic).

The keys of the options are names of the platform that starts the schedulers.
"""

from typing import Any

from robinhill import api

Json = Any

REPEATS = {"retryable": api.Repeat.SAFE, "dedup": api.Repeat.KEYED, "fragile": api.Repeat.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
# Names that error messages use for fields of ``api.Settings`` and ``api.JobClass``. These fields have keys
# with other names in the options; error messages name all other fields by their own names.
ERROR_NAMES = {
    "latency_objective_us": "aim_us",
    "poll_interval_us": "ask_every_us",
    "slow_start_floor": "cold_from",
    "slow_start_us": "cold_us",
    "priority_weight": "worth",
    "over_quota_priority_weight": "over_quota_worth",
}


def read_places(numbers: Json, setting: str, required: int = -1) -> frozenset[int] | None:
    """The numbers of the machine types or zones to which a job class is restricted; None: no restriction.

    ``numbers`` is the list in the options, where a missing or empty list means no restriction. ``required``
    restricts the class further, to this one machine type or zone (-1: no further restriction). Raises
    ValueError if ``numbers`` is not a list of integers; ``setting`` names the list in the error.
    """
    if numbers is not None and not (isinstance(numbers, list) and all(type(x) is int for x in numbers)):
        raise ValueError(f"{setting}: must be a list of integers")
    places = frozenset(numbers) if numbers else None
    if required < 0:
        return places
    return frozenset({required}) if places is None else places & {required}


def read_settings(options: dict[str, Json]) -> api.Settings:
    """Translate the start-up options to settings; unknown keys are ignored.

    Raises ValueError for a value out of range, and KeyError for a missing key or an unknown kind of repeat or
    scope.
    """
    try:
        return _read_settings(options)
    except api.SettingError as e:
        raise ValueError(f"{ERROR_NAMES.get(e.name, e.name)}: {e.requirement}") from e


def _read_settings(options: dict[str, Json]) -> api.Settings:
    limits, rules, specifics = options["policy-limits"], options["guarantees"], options.get("specifics", {})
    stretches, kinds = specifics.get("class-stretch", []), specifics.get("class-kind", [])
    classes = tuple(
        api.JobClass(
            latency_objective_us=c["aim-us"],
            deadline_us=c["hard-limit-us"],
            priority_weight=c.get("worth", 1.0),
            late_priority_weight=c.get("late-worth", 0.0),
            stretch=stretches[i] if i < len(stretches) else c.get("aim-stretch", 0.0),
            repeat=REPEATS[c["repeat"]],
            scope=SCOPES[c.get("dedup-scope", "cell")],
            memory_us=c.get("memory-span-us", 0),
            kinds=read_places(c.get("shapes-allowed"), "shapes-allowed", kinds[i] if i < len(kinds) else -1),
            zones=read_places(c.get("runs-in"), "runs-in"),
            stream=c.get("stream", False),
        )
        for i, c in enumerate(options["classes"])
    )
    prices = options.get("prices", {})
    return api.Settings(
        classes=classes,
        fleet_size=options["fleet-size"],
        zone=options.get("zone", 0),
        quotas_per_s=tuple(t.get("quota-per-s", 0.0) for t in options.get("tenants", [])),
        over_quota_priority_weight=options.get("over-share-worth", 1.0),
        value_by_work=options.get("value-by") == "work",
        must_subscribe=options.get("discovery") == "subscribe",
        poll_interval_us=rules.get("ask-every-us") or 10_000_000,
        drain_grace_us=rules["drain-grace-us"],
        slow_start_floor=rules["cold-from"],
        slow_start_us=rules["cold-us"],
        fall_multiple=rules["fall-multiple"],
        tip_after_us=rules["tip-after-us"],
        connect_timeout_us=limits.get("connect-timeout-us", 250_000),
        max_attempts=limits["most-tries"],
        parallel_attempts=limits.get("parallel-tries", False),
        cancelling=limits.get("cancelling", False),
        probes=limits.get("probes", False),
        retry_after=limits.get("retry-after", False),
        max_retry_after_us=limits.get("max-retry-after-us", 0),
        reports_start=bool(specifics.get("tells-start", False)),
        progress_us=specifics.get("progress-us", 0),
        cross_zone_price=prices.get("cross-zone", 0.0),
        waste_price=prices.get("waste", 0.0),
        handshake_price=prices.get("handshake", 0.0),
        keepalive_us=limits.get("keepalive-us", 60_000_000),
        full_may_have_run=rules.get("late-shedding", False),
        close_within_us=rules.get("let-go-in-us"),
    )
