"""Environment documents: model, checks, storage and distribution."""
