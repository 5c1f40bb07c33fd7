"""The daemon: wiring of the parts into one process."""
