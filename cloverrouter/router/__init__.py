"""The data plane of the router fleet: parse, route, authenticate, admit, place, forward, resume."""
