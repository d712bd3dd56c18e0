"""An explorer of the lifecycle and the decisions: the real code in a world in which every ordering happens.

- `scope`: how large the world is, and what may happen in it how often.
- `world`: clients, servers, lists and time round the real engine, lifecycle and balancer.
- `properties`: what must hold, each a checker of its own.
- `canon`: when two worlds are the same.
- `search`: breadth first up to a bound, then seeded walks beyond it.
- `faults`: seeded faults that the search must find.
- `trace`: counterexamples, told, saved and played again.
"""
