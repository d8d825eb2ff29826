package candidate

// cohortSeed keeps the hashes of cohorts independent of those of slots and data centres.
const cohortSeed = 0x636f686f7274

// InCohort reports whether a chat belongs to the given share (0 to 1) of all chats. For a given share the result depends on chat and
// salt only, and it is monotone: a chat within a share is within every larger share. Each rollout uses its own salt, so that
// different rollouts start with different chats. A NaN share contains no chat.
func InCohort(chat, salt uint64, share float64) bool {
	return uniform(hashPair(chat, salt^cohortSeed)) < share
}
