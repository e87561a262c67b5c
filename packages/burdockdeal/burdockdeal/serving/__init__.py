"""The path of one request: entry, owner and transfer."""
