"""The watch on discovery's endpoint list, and what is read of it after a stall."""
