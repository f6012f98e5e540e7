"""Catalogue of routes, services, organisations and endpoints."""
