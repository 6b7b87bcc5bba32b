"""The kinds of records that the control group replicates."""

from collections.abc import Iterable
from typing import Any

from robinhill.cordon.codec import cordon_kind
from robinhill.cordon.value import NAME as CORDON
from robinhill.mesh.record_kinds import DRAIN_KIND, EVIDENCE_KIND, MAX_RETRY_WINDOW_US, request_kind
from robinhill.mesh.records import Kind

URGENT_KINDS = frozenset({CORDON})
"""Record kinds whose changes voters send to observers before the changes of all other kinds."""


def kinds() -> tuple[Kind[Any], ...]:
    """Return the record kinds that the replica of each voter and each observer registers."""
    return (cordon_kind(), DRAIN_KIND, EVIDENCE_KIND, request_kind(MAX_RETRY_WINDOW_US))


def kind_names(registered: Iterable[Kind[Any]]) -> tuple[str, ...]:
    """Return the names of record kinds, as they are spelled in the operators' configuration file."""
    return tuple(kind.name for kind in registered)
