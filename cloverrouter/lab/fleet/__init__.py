"""Test doubles for a fleet's environment on one machine: model servers, operator, platform, clients, judge.

They share no code with the fleet, so that a fault in it is not repeated in its checks.
"""
