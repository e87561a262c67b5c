"""The daemon's own bounds: requests, connections and the pace of bytes."""
