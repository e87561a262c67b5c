"""Operator-declared resources: validation, change log, propagation."""
