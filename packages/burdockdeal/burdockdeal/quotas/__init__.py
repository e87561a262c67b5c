"""Quotas of workspaces that apply to all daemons together."""
