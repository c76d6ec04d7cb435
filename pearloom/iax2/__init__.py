"""IAX2 (RFC 5456) before and behind the exchange: callers' listener, session servers' trunks.

Others use `listener.Front`, `listener.Fronts`, `trunk.IaxTrunk` and `settings`; the fakes and tests also
use codec and legs, which have no sockets. See docs/iax2.md.
"""
