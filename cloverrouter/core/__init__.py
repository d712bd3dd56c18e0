"""The lifecycle of a call, of its attempts and of a connection, without I/O, clock or protocol.

- `states`: the states, what happens to them, and what is to be done about it.
- `lifecycle`: calls and attempts, (state, event) to (state, effects).
- `connection`: one connection that carries one exchange at a time, as a table.
- `engine`: the loop between the lifecycle and the decision module.

A front or an upstream of any protocol drives these; they import nothing of one.
"""
