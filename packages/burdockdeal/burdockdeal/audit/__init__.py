"""The audit trail of accepted, refused and superseded changes."""
