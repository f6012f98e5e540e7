"""Administration API and command line for operators."""
