"""The control plane: configuration, server registry, distribution, and the API for operators and servers."""
