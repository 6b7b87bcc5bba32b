"""The watch on discovery's endpoint list, and the handling of its backlog after a stall of this process."""
