"""The hand-over from one process of a scheduler to its successor, which replaces it while both run."""
