package pass_test

import "hyssoppitch/io/guard"

// replyMemory returns a guard with 32 MiB for the replies of servers.
func replyMemory() *guard.Guard {
	return guard.New(systemClock{}, guard.Limits{Budget: 32 << 20, HeaderLines: 1 << 15})
}
