"""Lets one instance place the requests of all."""
