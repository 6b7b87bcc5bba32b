"""A simulation of the fleet that compares two settings or versions of the scheduler (docs/model.md)."""
