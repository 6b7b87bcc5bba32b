"""Types shared by all modules that read configuration: the error for an invalid key, and addresses."""

from dataclasses import dataclass


class ConfigError(Exception):
    """A key of the configuration is missing or invalid; ``key`` is its path, ``what`` describes the fault."""

    def __init__(self, key: str, what: str) -> None:
        super().__init__(f"{key}: {what}")
        self.key, self.what = key, what


@dataclass(slots=True, frozen=True)
class Address:
    """A host and a port to listen on or to connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
