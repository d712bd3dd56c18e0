"""The data plane: matches requests to routes, authenticates and admits them, sends them to servers, and
forwards and resumes the answers."""
