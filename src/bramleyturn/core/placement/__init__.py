"""Choose the backend server of a request."""
