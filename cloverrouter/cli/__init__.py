"""The command line: `python -m cloverrouter`, or `cypresswinch` where the package is installed."""
