"""shedhold: decides, for a dispatcher pushing jobs to workers, where each job goes."""

from shedhold.api import Settings
from shedhold.logic import Balancer

__all__ = ["Balancer", "Settings"]
