"""Load generator, experiments, fault-injecting proxy and invariant checks."""
