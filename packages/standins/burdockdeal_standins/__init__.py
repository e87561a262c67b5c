"""Test doubles for the systems around the load balancer; tests only."""
