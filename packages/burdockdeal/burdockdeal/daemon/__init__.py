"""The daemon process: its assembly, main loop and metrics."""
