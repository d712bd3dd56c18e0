"""The control plane: configuration, registrations, their distribution, the API for operators and servers."""
