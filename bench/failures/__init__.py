"""A fleet of processes under load and failures, checked by its upstreams."""
