"""A model of the fleet in simulated time, on which two settings or versions are compared (docs/model.md)."""
