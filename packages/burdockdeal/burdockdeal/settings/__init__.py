"""The daemon's settings: data model, loading, validation and reload."""
