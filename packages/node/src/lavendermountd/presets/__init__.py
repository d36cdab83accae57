"""Following and keeping the preset in force."""
