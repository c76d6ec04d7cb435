"""The real softswitch: callers on one side, session servers on the other, one exchange between them."""
