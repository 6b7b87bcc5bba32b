"""The operators' file on recording."""

from typing import Annotated

from msgspec import Meta, Struct


class RecordOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' file on recording; without a folder nothing is recorded."""

    folder: str | None = None
    file_mb: Annotated[float, Meta(gt=0, le=10_000)] = 16.0
    total_mb: Annotated[float, Meta(gt=0, le=1_000_000)] = 256.0

    def __post_init__(self) -> None:
        if self.total_mb < 2 * self.file_mb:
            raise ValueError("total_mb: must be at least twice file_mb, as whole files are removed")
