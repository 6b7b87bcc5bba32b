"""Names from packages that are being renamed: each is imported here and nowhere else in these ladders."""

from robinhill.door.door import Admit, Ask, Door
from robinhill.door.options import DoorOptions, Limits, Tenant
from robinhill.standin.client import Clients
from robinhill.standin.client import Tenant as AskingTenant
from robinhill.standin.discovery import Discovery
from robinhill.standin.program import Program
from robinhill.standin.rig import Rig, rig
from robinhill.standin.site import JobKind, Site
from robinhill.standin.worker import Worker
from robinhill.witness.journal import Journal

__all__ = (
    "Admit", "Ask", "AskingTenant", "Clients", "Discovery", "Door", "DoorOptions", "JobKind", "Journal",
    "Limits", "Program", "Rig", "Site", "Tenant", "Worker", "rig",
)  # fmt: skip
