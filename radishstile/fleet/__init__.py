"""The fleet of hosts: membership, freshness and rights."""
