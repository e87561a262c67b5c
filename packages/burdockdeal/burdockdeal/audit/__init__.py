"""The trail of accepted, refused and superseded changes."""
