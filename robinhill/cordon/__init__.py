"""Cordons: workers that no scheduler sends anything new to. Decisions only, without input or output."""
