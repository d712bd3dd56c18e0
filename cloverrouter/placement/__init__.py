"""Chooses a server for each request: server models, prefix affinity, quotas and admission. Performs no
I/O."""
