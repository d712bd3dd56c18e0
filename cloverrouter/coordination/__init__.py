"""Replicates a state machine over a few machines with disks, for a fleet of many without. Embeddable: the
classes do no I/O; a driver feeds them events and carries out their effects."""
