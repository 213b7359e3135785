"""Messages and clients of the backend servers, which run tasks on workers."""
