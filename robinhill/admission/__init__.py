"""Admission control: fair queues by tenant in front of the decision module (docs/admission.md). No I/O."""
