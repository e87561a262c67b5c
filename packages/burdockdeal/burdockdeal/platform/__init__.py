"""Integration with the platform: its key-value store and its protocols."""
