"""Stand-ins for what stands outside the product, for tests only."""
