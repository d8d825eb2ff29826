package candidate

// cohortSeed separates the hashes of cohorts from those of slots and data centres.
const cohortSeed = 0x636f686f7274

// Cohort says whether a chat belongs to the given share (0 to 1) of all chats. The answer depends on chat and salt only and is
// monotone: a chat within a share is within every larger one. A rollout uses its own salt, so that the same chats are not
// always the first. A share that is not a number contains no chat.
func Cohort(chat, salt uint64, share float64) bool {
	return unit(hashPair(chat, salt^cohortSeed)) < share
}
