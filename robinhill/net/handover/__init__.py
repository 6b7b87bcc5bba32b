"""The hand-over from one process of a scheduler to its successor."""
