"""Identifies the tenant of a request by a keyed hash, so that callers can't construct colliding names."""

import ipaddress
from dataclasses import dataclass
from hashlib import blake2b

from pytricia import PyTricia

from robinhill.admission.options import AdmissionOptions

SECRET_BYTES = 16
MAX_CACHED_ADDRESSES = 4_096  # a cache of this number of addresses uses about 1 MB of memory
UNKNOWN = "unknown"  # tenant of callers without a valid IP address


@dataclass(slots=True, frozen=True)
class Caller:
    """The sender of a request: ``name`` is the name of its tenant, ``tenant`` the keyed hash of that name.

    ``network`` is the index of the configured network that contains the caller's address, -1 for none.
    ``fingerprint`` is a keyed hash of tenant, address and route key (the header X-Route-Key), by which the
    caller's retry promises are found.
    """

    tenant: int
    name: str
    network: int = -1
    fingerprint: int = 0


class BadNameError(ValueError):
    """The tenant header is empty, too long or not printable."""


class Directory:
    """Maps tenant headers and addresses to callers. The longest matching network prefix applies."""

    def __init__(self, options: AdmissionOptions, secret: bytes) -> None:
        self.options = options
        self.secret = secret
        self._v4, self._v6 = PyTricia(32), PyTricia(128)
        self._located: dict[str | None, tuple[int, str]] = {}  # cache of `_locate` by address
        for number, entry in enumerate(options.networks):
            network = ipaddress.ip_network(entry.network)
            (self._v4 if network.version == 4 else self._v6).insert(str(network), number)

    def hash(self, text: str) -> int:
        """A keyed 64-bit hash; without the secret nobody can choose two names that share a queue."""
        digest = blake2b(text.encode(errors="surrogateescape"), digest_size=8, key=self.secret).digest()
        return int.from_bytes(digest)

    def find(self, header: str | None, address: str | None, key: str = "") -> Caller:
        """The caller of a request with this tenant header, peer address and route key.

        Without a tenant header the tenant is the one configured for the caller's network, or else the prefix
        of the caller's address. Raises BadNameError if the header is empty, too long or not printable.
        """
        if (located := self._located.get(address)) is None:
            if len(self._located) >= MAX_CACHED_ADDRESSES:
                self._located.clear()
            located = self._located[address] = self._locate(address)
        number, prefix = located
        if header is not None:
            if not (0 < len(header) <= 64 and header.isprintable()):
                raise BadNameError(
                    f"{self.options.tenant_header} is not a valid name: expected 1 to 64 printable characters"
                )
            name = header
        elif number >= 0 and (tenant := self.options.networks[number].tenant):
            name = tenant
        else:
            name = prefix
        return Caller(self.hash(name), name, number, self.hash(f"{name}\0{address}\0{key}"))

    def _locate(self, address: str | None) -> tuple[int, str]:
        """The index of the configured network of an address (-1: none), and the prefix used as its tenant."""
        try:
            ip = ipaddress.ip_address((address or "").partition("%")[0])
        except ValueError:
            return -1, UNKNOWN
        if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped:
            ip = ip.ipv4_mapped
        v4 = isinstance(ip, ipaddress.IPv4Address)
        number = (self._v4 if v4 else self._v6).get(str(ip), -1)
        length = self.options.prefix_v4 if v4 else self.options.prefix_v6
        return number, str(ipaddress.ip_network((ip, length), strict=False))
