"""The session servers' side: which there are, what each speaks, and who tells of changes."""
