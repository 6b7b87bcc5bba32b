"""robinhill: a job scheduler: for a dispatcher that pushes jobs to workers, it chooses a worker for each."""

from robinhill.api import Settings
from robinhill.logic import Balancer

__all__ = ["Balancer", "Settings"]
