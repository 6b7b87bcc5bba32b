"""What every reader of configuration shares: the error for a faulty key, and addresses."""

from dataclasses import dataclass


class ConfigError(Exception):
    """A key of the configuration is missing or wrong."""

    def __init__(self, key: str, what: str) -> None:
        super().__init__(f"{key}: {what}")
        self.key, self.what = key, what


@dataclass(slots=True, frozen=True)
class Address:
    """A host and a port to listen on or to call."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
