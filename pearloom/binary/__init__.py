"""Callers over the binary protocol: the codec, their connections and the listener."""
