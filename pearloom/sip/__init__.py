"""Session servers over SIP: the codec, the connections to each server and its trunk."""
