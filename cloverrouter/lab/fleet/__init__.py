"""Stand-ins for a fleet's surroundings on one machine: model servers, operator, platform, clients, judge.

They share no code with the fleet itself.
"""
