"""Experiments with real processes, and the demo."""
