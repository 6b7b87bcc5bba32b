"""robinhill: decides, for a dispatcher pushing jobs to workers, where each job goes."""

from robinhill.api import Settings
from robinhill.logic import Balancer

__all__ = ["Balancer", "Settings"]
