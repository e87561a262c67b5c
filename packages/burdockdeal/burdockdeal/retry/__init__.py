"""Retries, hedging and the budgets that bound them."""
