"""Commands of operators and how they are carried out."""
