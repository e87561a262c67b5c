"""A daemon's settings: their model, loading and checking."""
