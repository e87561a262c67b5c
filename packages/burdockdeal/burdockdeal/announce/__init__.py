"""Announcements, heartbeats and drains of the local upstream."""
