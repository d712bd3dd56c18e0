"""What one of many instances may take of servers that all of them share: fewer servers each, fewer
connections for a shorter time, rarer probes and calls, the more instances there are. Numbers in, numbers out.
"""
