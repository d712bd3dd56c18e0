"""The client proxy: the decisions of ``decide`` applied to real sockets. Start it with ``python -m``."""
