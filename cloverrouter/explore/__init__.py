"""A model checker: runs the shipped request lifecycle and balancer through every order of events.

- `scope`: the size of the simulated world and the limits on each kind of event.
- `world`: simulated clients, servers, server lists and time around the real engine, lifecycle and balancer.
- `properties`: the properties that must hold, and the checks that are made on whole states.
- `canon`: a digest of a world, by which equal states are recognised.
- `search`: breadth-first search up to a depth bound, then seeded random walks beyond it.
- `faults`: seeded faults that the search must find.
- `trace`: counterexamples: replayed, shrunk, printed, saved and read.
- `connections`: every event order on one upstream connection.
- `models`, `model_trace`: the models of the control plane, and their saved counterexamples.
"""
