"""Admission control: queues requests fairly by tenant before the decision module places them on workers.

It does no I/O; see docs/admission.md.
"""
