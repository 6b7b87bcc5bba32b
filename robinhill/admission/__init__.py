"""Admission control without I/O: fair queueing by tenant before the decision module (docs/admission.md)."""
