"""Administration API and operator command line."""
