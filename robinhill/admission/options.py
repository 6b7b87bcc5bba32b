"""Admission's part of the operators' file, as checked structs. Times are in the units that the keys name."""

import ipaddress
from typing import Annotated

from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HEADER_FORM = r"^[A-Za-z0-9-]{1,64}$"


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """What one tenant or network may use; what is left out is not limited.

    Rates are a second, work is in seconds of a worker's time; a burst is what may be used at once after a
    rest, by default one second's worth.
    """

    requests_per_s: Positive | None = None
    requests_burst: Positive | None = None
    work_per_s: Positive | None = None
    work_burst: Positive | None = None
    open: Count | None = None
    queued: Count | None = None

    def over(self, default: "Limits") -> "Limits":
        """These, and the default's where these say nothing."""
        values = {}
        for name in self.__struct_fields__:
            tenant_limit = getattr(self, name)
            values[name] = getattr(default, name) if tenant_limit is None else tenant_limit
        return Limits(**values)


class Tenant(Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant that staff know by name: always has a queue of its own."""

    weight: Annotated[float, Meta(ge=0.01, le=100)] = 1.0
    limits: Limits = Limits()


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """A network of callers: the tenant of those that name none, and limits on all that come from it."""

    network: str
    tenant: Name | None = None
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        try:
            ipaddress.ip_network(self.network)
        except ValueError as e:
            raise ValueError(str(e)) from None


class AdmissionOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """All of admission's settings; each has a default. Without ``enabled`` requests pass straight through."""

    enabled: bool = False
    tenant_header: Annotated[str, Meta(pattern=HEADER_FORM)] = "X-Tenant-Id"
    networks: tuple[Network, ...] = ()
    # Callers that neither name a tenant nor come from a listed network are distinguished by such a prefix.
    prefix_v4: Annotated[int, Meta(ge=8, le=32)] = 24
    prefix_v6: Annotated[int, Meta(ge=16, le=128)] = 48
    tenants: dict[Name, Tenant] = {}
    limits: Limits = Limits()
    queued: Annotated[int, Meta(ge=1, le=100_000)] = 2_000
    queues: Annotated[int, Meta(ge=1, le=4_096)] = 64
    hand: Annotated[int, Meta(ge=1, le=16)] = 4
    accounts: Annotated[int, Meta(ge=8, le=65_536)] = 512
    # The share of the fleet that tenants never served before get together while known ones wait.
    newcomers: Annotated[float, Meta(gt=0, lt=1)] = 0.25
    retry_after_cap_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 60_000

    def __post_init__(self) -> None:
        if self.hand > self.queues:
            raise ValueError("hand: must be at most queues")
        seen = set()
        for entry in self.networks:
            network = ipaddress.ip_network(entry.network)
            if network in seen:
                raise ValueError(f"networks: {network} stands twice")
            seen.add(network)

    def limits_of(self, tenant: str) -> Limits:
        """A tenant's limits: its own, and the default for all where it has none."""
        named = self.tenants.get(tenant)
        return named.limits.over(self.limits) if named else self.limits
