"""Load tests and benchmarks with real processes, and the demo."""
