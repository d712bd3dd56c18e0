"""Which server gets a request: server models, prefix affinity, quotas, admission. Pure."""
