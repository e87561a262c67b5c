"""The upstream beside this daemon: announce, heartbeat, drain."""
