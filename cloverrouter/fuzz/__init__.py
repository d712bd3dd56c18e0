"""Fuzzing of every parser that reads bytes from outside of the process.

A `Target` feeds one kind of input to the production code and checks the properties that hold for any input.
`plain` generates inputs from a seed without a library; `guided` runs a coverage-guided fuzzer (atheris).
"""
