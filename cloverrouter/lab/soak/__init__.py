"""Soak runs of the fleet: real processes, with signals, restarts and changes in series that overlap."""
