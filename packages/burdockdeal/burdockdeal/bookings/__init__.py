"""At most one run for calls that are not idempotent."""
