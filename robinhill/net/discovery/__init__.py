"""The watch on the endpoint list of discovery, and catching up with its messages after a stall."""
