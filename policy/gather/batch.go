package gather

// minBatch is the least number of attempts that are worth a message to a node next to
// their replicas.
const minBatch = 4

// Batches groups first attempts by the data centres of their replicas: those of each data
// centre but the own one go through a node there, in one message, and their parts come
// back merged.
//
// It answers gathers over dozens of shards whose replicas are spread over many data
// centres, when each part crosses between them with headers of its own and leaves one
// processor after the other. centres holds the data centre of each attempt; the result
// holds positions in it. Attempts in no batch are sent one by one.
func Batches(own string, centres []string) map[string][]int {
	batches := make(map[string][]int)
	for i, name := range centres {
		if name != own {
			batches[name] = append(batches[name], i)
		}
	}
	for name, batch := range batches {
		if len(batch) < minBatch {
			delete(batches, name)
		}
	}
	return batches
}
