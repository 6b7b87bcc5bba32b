"""Cordons at one process: operators' calls, what is in force here, what the dispatcher is notified of."""
