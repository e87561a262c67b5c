"""Load balancing: chooses the instance that a call is sent to."""
