"""One module for each command or few of a kind."""
