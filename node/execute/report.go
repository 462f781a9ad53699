package execute

// Report passes the counters and the number of open requests to set.
func (x *Executor) Report(set func(name string, value float64)) {
	s := x.Stats()
	for name, value := range map[string]uint64{
		"execute_started":       s.Started,
		"execute_joined":        s.Joined,
		"execute_repeated":      s.Repeated,
		"execute_unknown":       s.Unknown,
		"execute_claim_reads":   s.ClaimReads,
		"execute_claim_writes":  s.ClaimWrites,
		"execute_settle_writes": s.CompletionWrites,
		"execute_unsettled":     s.UnresolvedClaims,
	} {
		set(name, float64(value))
	}
	set("execute_open", float64(x.Open()))
}
