"""IAX2 (RFC 5456) on both sides of the exchange: the callers' listener and the session servers' trunks.

Other packages use `listener.IaxListener`, `listener.CallerSides`, `trunk.IaxTrunk` and `settings`; the fakes
and tests also use the codec and the legs, which have no sockets. See docs/iax2.md.
"""
