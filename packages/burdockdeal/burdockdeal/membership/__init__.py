"""Which daemons live, where, and which upstream each serves."""
