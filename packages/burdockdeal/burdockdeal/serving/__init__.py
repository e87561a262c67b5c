"""The path of a request: entry daemon, owner daemon and upstream."""
