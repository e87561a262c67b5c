"""The daemon's process: assembly and start."""
