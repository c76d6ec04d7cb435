"""Session servers over SIP: the messages and one trunk a server."""
