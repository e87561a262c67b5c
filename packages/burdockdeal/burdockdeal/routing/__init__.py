"""Which instance a call is sent to."""
