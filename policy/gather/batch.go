package gather

// minBatchAttempts is the least number of attempts that justifies a message to another
// node.
const minBatchAttempts = 4

// Batches groups first attempts by the data centre of their replicas. The attempts of each
// remote data centre go to a node there in one message, and their parts return merged.
// Attempts in the own data centre and in small groups are sent one by one.
//
// Without batches, a gather over dozens of shards transfers each part between data centres
// with its own headers, and each part costs processor time separately.
//
// centres holds the data centre of each attempt; the result holds indexes into it.
func Batches(own string, centres []string) map[string][]int {
	batches := make(map[string][]int)
	for i, name := range centres {
		if name != own {
			batches[name] = append(batches[name], i)
		}
	}
	for name, batch := range batches {
		if len(batch) < minBatchAttempts {
			delete(batches, name)
		}
	}
	return batches
}
