// The operator's file. PEARLOOM_FILE names it; without it a softswitch is as it was before.
// Fields are set apart by the end of a line or a comma; JSON text may stand here as well.

iax2: {
	listen: "127.0.0.1:4569" // for callers over IAX2; leave it out and none are taken

	// Callers by their USERNAME. Where any is named, every caller has to answer a challenge.
	secrets: "front-amsterdam": "change-this-secret"

	// Session servers that speak IAX2, by id; * and ? stand for digits. All others speak SIP.
	servers: ["s-0000001?", "s-000000a7"]
	server_secrets: "s-000000a7": "change-this-too"

	default_class: "open-form" // of callers that name no class (CALLED CONTEXT)

	limits: {
		legs:            8000
		legs_per_source: 2000
		half_open:       500
		half_open_ms:    3000
		tokens_per_s:    2000
	}
}

// Where the softswitches of one fleet agree: a store of the etcd v3 kind. Leave it out and none is asked.
store: {
	at: ["127.0.0.1:2379"]
	lease_s: 5
}

// How machines are taken out for work; without a store it has no effect.
turns: {
	zone:     "amsterdam"
	edition:  1
	out:      2
	out_zone: 1
	floor:    0.75
}

// Routing rules of the fleet; without a store it has no effect.
rules: {
	snapshot: "/var/lib/pearloom/rules" // the last head obeyed, for a start without the store
	stages: ["one", "0.1", "0.5"]
	soak_ms: 120000
	rate:    0.01
	halted:  "back"
}
