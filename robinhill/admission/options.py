"""The admission section of the operators' file as validated structs. Keys of times end in the unit."""

import ipaddress
from typing import Annotated

from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HEADER_FORM = r"^[A-Za-z0-9-]{1,64}$"


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of one tenant or network; an omitted key means no limit.

    Work is measured in seconds of a worker's time. A burst is the amount that may be used at once after an
    idle period; it defaults to the amount of one second at the rate, and to at least one request. ``open``
    limits the requests without a final answer, ``queued`` those of them that are queued.
    """

    requests_per_s: Positive | None = None
    requests_burst: Positive | None = None
    work_per_s: Positive | None = None
    work_burst: Positive | None = None
    open: Count | None = None
    queued: Count | None = None

    def over(self, default: "Limits") -> "Limits":
        """These limits, completed by those of ``default`` where a key is omitted."""
        values = {}
        for name in self.__struct_fields__:
            own_limit = getattr(self, name)
            values[name] = getattr(default, name) if own_limit is None else own_limit
        return Limits(**values)


class Tenant(Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant named in the operators' file, which always has a queue of its own."""

    weight: Annotated[float, Meta(ge=0.01, le=100)] = 1.0
    limits: Limits = Limits()


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """A network: the tenant of its callers that send no tenant header, and the limits on all its callers.

    The limits apply to all callers of the network combined, not to each caller.
    """

    network: str
    tenant: Name | None = None
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        try:
            ipaddress.ip_network(self.network)
        except ValueError as e:
            raise ValueError(str(e)) from None


class AdmissionOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of admission control, with defaults. Without ``enabled`` nothing is queued or rejected."""

    enabled: bool = False
    tenant_header: Annotated[str, Meta(pattern=HEADER_FORM)] = "X-Tenant-Id"
    networks: tuple[Network, ...] = ()
    # Callers without a tenant header and outside all networks are grouped into tenants by address prefix.
    prefix_v4: Annotated[int, Meta(ge=8, le=32)] = 24
    prefix_v6: Annotated[int, Meta(ge=16, le=128)] = 48
    tenants: dict[Name, Tenant] = {}
    limits: Limits = Limits()
    queued: Annotated[int, Meta(ge=1, le=100_000)] = 2_000  # limit on all queued requests together
    # Tenants without a queue of their own share `queues` queues; each such tenant may use `hand` of these.
    queues: Annotated[int, Meta(ge=1, le=4_096)] = 64
    hand: Annotated[int, Meta(ge=1, le=16)] = 4
    accounts: Annotated[int, Meta(ge=8, le=65_536)] = 512  # limit of accounts of tenants not in ``tenants``
    # The share of admitted work that all tenants in shared queues get together while requests of tenants with
    # their own queue are queued.
    newcomers: Annotated[float, Meta(gt=0, lt=1)] = 0.25
    retry_after_cap_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 60_000  # maximum Retry-After of rejections

    def __post_init__(self) -> None:
        if self.hand > self.queues:
            raise ValueError("hand: exceeds the number of queues; expected at most the value of queues")
        seen = set()
        for entry in self.networks:
            network = ipaddress.ip_network(entry.network)
            if network in seen:
                raise ValueError(f"networks: {network} is listed twice")
            seen.add(network)

    def limits_of(self, tenant: str) -> Limits:
        """The limits of a tenant: those configured for it, completed by the default limits."""
        named = self.tenants.get(tenant)
        return named.limits.over(self.limits) if named else self.limits
