"""The entry host on the users' platform: wiring, no decisions."""
