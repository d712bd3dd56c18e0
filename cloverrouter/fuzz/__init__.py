"""Fuzzing: mutated inputs for every place where bytes from outside of a process are read.

A `Target` reads one kind of input by the program's own code, and knows what has to hold whatever it is.
`plain` plays seeded inputs without any library; `guided` lets the coverage choose which inputs to go on from.
"""
