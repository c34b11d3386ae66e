"""Runs a small fleet on loopback: the stand-ins, the hosts, and what tests do to them."""
