"""Stand-ins for the platform, model engines and plain HTTP services."""
