"""Measuring of load within a budget."""
