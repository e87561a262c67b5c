"""Probes of instances within the operator's budget."""
