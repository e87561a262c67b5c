"""Failure domains that the operator has evacuated."""
