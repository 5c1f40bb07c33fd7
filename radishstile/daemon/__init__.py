"""The `radishstiled` daemon: its components, wired into one process."""
