"""The lifecycle of calls, attempts and connections, without I/O, clock or protocol.

- `states`: states, events and effects.
- `lifecycle`: calls and attempts, (state, event) to (state, effects).
- `connection`: a connection that carries one exchange at a time, as a state table.
- `engine`: the loop between the lifecycle and the decision module.
- `shutdown`: the shutdown sequence of a process.

Front ends and upstreams of any protocol drive these modules, which import no protocol.
"""
