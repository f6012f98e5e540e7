"""The daemon that runs every role of an instance."""
