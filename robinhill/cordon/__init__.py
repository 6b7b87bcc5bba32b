"""Cordons: workers that get nothing new at any scheduler. Decisions only: no input or output."""
