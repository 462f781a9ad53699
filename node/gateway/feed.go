package gateway

// reportStore sets the gauges of the calls to the store and of the feed in use.
func (g *Gateway) reportStore(set func(name string, value float64)) {
	for kind, count := range g.store.Calls() {
		set("store_calls_"+kind, float64(count))
	}
	set("store_answers_too_large", float64(g.store.TooLarge()))
	through := 0.0
	if g.directory.FeedInUse() != "" {
		through = 1
	}
	set("store_through_feed", through)
	if age, known := g.directory.StoreAge(); known {
		set("store_age_seconds", age.Seconds())
	}
}
