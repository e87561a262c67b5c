"""Measurement of the upstreams' load within a budget."""
