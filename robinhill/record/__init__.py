"""Recordings of what passes: a framed, versioned, compressed format, and the records that it holds."""
