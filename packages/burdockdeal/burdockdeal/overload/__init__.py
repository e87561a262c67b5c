"""The daemon's overload protection: limits on requests, connections, bytes."""
