"""Logging of the records that a replica rejected or stored with a warning."""

import logging
from collections.abc import Iterable

from robinhill.mesh.record_merging import RejectedRecord

log = logging.getLogger(__name__)


def log_rejected(rejected: Iterable[RejectedRecord]) -> None:
    """Log each rejected record, or each record stored with a warning, with the reason."""
    for rejection in rejected:
        record, why = rejection.record, str(rejection.error)
        log.warning("record_rejected", extra={"kind": record.kind, "key": record.key, "why": why})
