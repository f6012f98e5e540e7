"""What is routed where: routes, services, organisations, endpoints."""
