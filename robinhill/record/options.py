"""The options of traffic recording in the operators' file."""

from typing import Annotated

from msgspec import Meta, Struct


class RecordOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """Options of traffic recording; it is off without a ``folder``.

    ``file_mb``: the size at which a new file begins. ``total_mb``: the limit for all files of this scheduler.
    """

    folder: str | None = None
    file_mb: Annotated[float, Meta(gt=0, le=10_000)] = 16.0
    total_mb: Annotated[float, Meta(gt=0, le=1_000_000)] = 256.0

    def __post_init__(self) -> None:
        if self.total_mb < 2 * self.file_mb:
            raise ValueError(
                "total_mb: must be at least twice file_mb, as the limit is kept by removing whole files"
            )
