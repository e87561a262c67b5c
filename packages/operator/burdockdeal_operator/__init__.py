"""The burdockctl command for operators."""
