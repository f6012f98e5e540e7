"""Messages and membership between instances."""
