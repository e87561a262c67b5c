"""Types and helpers that every slice shares."""
