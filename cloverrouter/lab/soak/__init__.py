"""Soak tests of the fleet: real processes under overlapping series of signals, restarts and changes."""
