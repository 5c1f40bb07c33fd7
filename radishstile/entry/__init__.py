"""The entry host: wires the domain packages to the users' platform."""
