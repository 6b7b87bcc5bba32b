"""Identifies callers: the tenant of a request, as a keyed hash that nobody outside can collide with."""

import ipaddress
from dataclasses import dataclass
from hashlib import blake2b

from pytricia import PyTricia

from robinhill.admission.options import AdmissionOptions

SECRET_BYTES = 16
MAX_CACHED_ADDRESSES = 4_096  # some 1 MB
UNKNOWN = "unknown"  # a caller without a readable address


@dataclass(slots=True, frozen=True)
class Caller:
    """A request's tenant: ``tenant`` is its keyed hash, ``name`` what operators read.

    ``network`` is the index of the listed network that the caller's address lies in, -1 for none.
    ``fingerprint`` tells this caller's requests of one kind from others, for retry promises.
    """

    tenant: int
    name: str
    network: int = -1
    fingerprint: int = 0


class BadNameError(ValueError):
    """A tenant's name that is empty, too long or not printable."""


class Directory:
    """Finds callers. The longest matching network wins, for IPv4 and IPv6 alike."""

    def __init__(self, options: AdmissionOptions, secret: bytes) -> None:
        self.options = options
        self.secret = secret
        self._v4, self._v6 = PyTricia(32), PyTricia(128)
        self._located: dict[str | None, tuple[int, str]] = {}  # a cache by address
        for number, entry in enumerate(options.networks):
            network = ipaddress.ip_network(entry.network)
            (self._v4 if network.version == 4 else self._v6).insert(str(network), number)

    def hash(self, text: str) -> int:
        """64 bits, keyed: without the secret nobody can choose two names that share a queue."""
        digest = blake2b(text.encode(errors="surrogateescape"), digest_size=8, key=self.secret).digest()
        return int.from_bytes(digest)

    def find(self, header: str | None, address: str | None, key: str = "") -> Caller:
        """The caller of a request with this tenant header, peer address and route key.

        Raises BadNameError for a name that is empty, too long or not printable.
        """
        if (located := self._located.get(address)) is None:
            if len(self._located) >= MAX_CACHED_ADDRESSES:
                self._located.clear()
            located = self._located[address] = self._locate(address)
        number, prefix = located
        if header is not None:
            if not (0 < len(header) <= 64 and header.isprintable()):
                raise BadNameError(f"{self.options.tenant_header} must be 1 to 64 printable characters")
            name = header
        elif number >= 0 and (tenant := self.options.networks[number].tenant):
            name = tenant
        else:
            name = prefix
        return Caller(self.hash(name), name, number, self.hash(f"{name}\0{address}\0{key}"))

    def _locate(self, address: str | None) -> tuple[int, str]:
        """The listed network of an address (-1: none), and the prefix that stands for its neighbourhood."""
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
