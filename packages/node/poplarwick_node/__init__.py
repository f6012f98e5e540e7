"""The daemon that runs all roles of an instance."""
