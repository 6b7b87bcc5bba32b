"""Fair queues between inbound and the decision module: decisions only, no input or output (docs/door.md)."""
