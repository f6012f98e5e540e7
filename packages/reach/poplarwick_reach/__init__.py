"""Connects to endpoints, directly or through another instance."""
