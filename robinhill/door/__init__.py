"""Fair queues between inbound and the decision module: decisions only, no input or output (docs/door.md)."""

from robinhill.door.door import Admit, Ask, Door, Refuse
from robinhill.door.options import DoorOptions

__all__ = ["Admit", "Ask", "Door", "DoorOptions", "Refuse"]
