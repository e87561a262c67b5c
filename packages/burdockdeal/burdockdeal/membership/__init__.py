"""Fleet membership: which daemons are alive and what each one serves."""
