"""Stand-ins and helpers of the third review's scripts."""
