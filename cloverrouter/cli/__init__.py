"""Command-line interface: `python -m cloverrouter`, or `cypresswinch` where the package is installed."""
