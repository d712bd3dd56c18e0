"""The laboratory: emulated bridge servers, lists and clients, to try a configuration before a busy season.

- `scenario`: what is played, read from TOML and checked.
- `draws`: seeded random numbers, one stream for each source.
- `bridge`: one bridge server as a model, without I/O or clock.
- `load`: who asks for what, and when.
- `policies`: the project's decision module, and two baselines beside it.
- `judge`: what clients and servers saw, held against the rules. It shares no code with the decisions.
- `simulate`: all of it in simulated time.
"""
