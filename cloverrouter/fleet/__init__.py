"""Limits and failure detection for one of many instances that share the same servers: the more instances
there are, the fewer servers, connections, probes and discovery calls each may use. No I/O.
"""
