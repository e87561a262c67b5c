"""Whether a call is sent again, hedged or given up."""
