"""Resources: checking, the change log and their spread."""
