"""Graceful stop of a daemon."""
