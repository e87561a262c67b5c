"""Graceful shutdown of a daemon."""
