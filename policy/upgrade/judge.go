package upgrade

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// slowBuckets is the distance from the old version's median latency, in buckets, from
	// which an answer is slow: 5 buckets are a factor of 2.4.
	slowBuckets = 5
	// minFailureRate and minSlowRate are the least rates that are assumed for the old
	// version. A calm old version has hardly failed yet; its answers are slow while a
	// replica pauses.
	minFailureRate = 0.02
	minSlowRate    = 0.06
	// minBad is the least number of bad answers of a bad version. minExcess is the least
	// difference of its rate to the old version's, and minShiftExcess that for slow answers
	// once the old version does not answer any more: what slows both versions cannot be
	// told from a slow version then.
	minBad         = 3
	minExcess      = 0.08
	minShiftExcess = 0.25
	// maxChance is the largest probability that a version as good as the old one has as
	// many bad answers. The judgement is repeated many times during an upgrade.
	maxChance = 2e-4
	// maxConfirmChance applies to the confirm phase, which follows a fault of other replicas.
	maxConfirmChance = 2e-3
	// minOldAnswers is the number of answers of the old version from which its latency is
	// a measure, and the weight of its rates in all phases.
	minOldAnswers = 30
)

// Verdict is the judgement on the new version.
type Verdict struct {
	// Bad is set if the new version answers worse than the old one. Suspect is set if only
	// the replicas of the load phase do, and may be faulty by themselves. Reason states the
	// figures of either.
	Bad, Suspect bool
	Reason       string
}

// Judge compares the answers of the new version with those of the old one in the same
// phases, for each route and for all together. A version is bad only if it is bad without
// its worst replica too: one replica may be faulty by itself. A version with a single
// replica is judged by that one.
func Judge(samples []Sample, replicas int) Verdict {
	byRoute := groupByRoute(samples)
	usual := test{spareWorst: replicas > 1, chance: maxChance, slowExcess: minExcess}
	for _, phases := range [][]Phase{{Canary, Load, Confirm}, {Load, Confirm}} {
		if v := judgePhases(byRoute, phases, usual); v.Bad {
			return v
		}
	}
	shifted := usual
	shifted.slowExcess = minShiftExcess
	if v := judgePhases(byRoute, []Phase{Shift, Close}, shifted); v.Bad {
		return v
	}
	alone := test{spareWorst: replicasIn(samples, Load) > 1, chance: maxChance, slowExcess: minExcess}
	suspect := judgePhases(byRoute, []Phase{Load}, alone)
	if !suspect.Bad {
		return Verdict{}
	}
	if v := judgePhases(byRoute, []Phase{Confirm}, test{chance: maxConfirmChance, slowExcess: minExcess}); v.Bad {
		return v
	}
	return Verdict{Suspect: true, Reason: suspect.Reason}
}

// replicasIn counts the new replicas that have answered in a phase.
func replicasIn(samples []Sample, phase Phase) int {
	ids := make(map[string]bool)
	for i := range samples {
		if s := &samples[i]; s.Phase == phase && s.Replica != "" {
			ids[s.Replica] = true
		}
	}
	return len(ids)
}

func groupByRoute(samples []Sample) map[string][]*Sample {
	byRoute := make(map[string][]*Sample)
	for i := range samples {
		byRoute[samples[i].Route] = append(byRoute[samples[i].Route], &samples[i])
	}
	return byRoute
}

// judgePhases judges by the answers of some phases, by each route and by all together.
func judgePhases(byRoute map[string][]*Sample, phases []Phase, t test) Verdict {
	all := newComparison("all routes")
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		c := compare(byRoute[route], phases, route)
		if v := c.judge(t); v.Bad {
			return v
		}
		all.add(c)
	}
	return all.judge(t)
}

// faultRates returns the shares of bad answers of the new version's replicas before the
// shift.
func faultRates(samples []Sample) map[string]float64 {
	shares := make(map[string]float64)
	all := newComparison("all routes")
	for route, of := range groupByRoute(samples) {
		all.add(compare(of, []Phase{Canary, Load, Confirm}, route))
	}
	for id, r := range all.failures.replicas {
		shares[id] = float64(r.bad+all.slow.replicas[id].bad) / float64(max(r.all, 1))
	}
	return shares
}

// rate is a number of bad answers among all.
type rate struct{ bad, all int }

func (r rate) plus(o rate) rate { return rate{r.bad + o.bad, r.all + o.all} }

// versionRates holds the rates of one kind of bad answers.
type versionRates struct {
	// old is the rate of the old version in the compared phases, and oldAny in all phases.
	old, oldAny rate
	// replicas holds the rates of the new version's replicas.
	replicas map[string]rate
}

// comparison holds the rates of failures and of slow answers in some phases.
type comparison struct {
	route          string
	failures, slow versionRates
}

func newComparison(route string) *comparison {
	return &comparison{
		route:    route,
		failures: versionRates{replicas: make(map[string]rate)},
		slow:     versionRates{replicas: make(map[string]rate)},
	}
}

// compare returns the comparison of one route's samples.
func compare(samples []*Sample, phases []Phase, route string) *comparison {
	var oldAny Sample
	for _, s := range samples {
		if s.Replica == "" {
			oldAny.merge(s)
		}
	}
	slowFrom := oldAny.medianBucket() + slowBuckets
	timed := oldAny.timed() >= minOldAnswers
	c := newComparison(route)
	for _, s := range samples {
		compared := slices.Contains(phases, s.Phase)
		c.failures.count(s, compared, rate{s.Failures, s.Answers})
		if timed {
			c.slow.count(s, compared, rate{s.from(slowFrom), s.timed()})
		}
	}
	return c
}

func (v *versionRates) count(s *Sample, compared bool, r rate) {
	if s.Replica == "" {
		v.oldAny = v.oldAny.plus(r)
	}
	switch {
	case !compared:
	case s.Replica == "":
		v.old = v.old.plus(r)
	default:
		v.replicas[s.Replica] = v.replicas[s.Replica].plus(r)
	}
}

func (c *comparison) add(o *comparison) {
	c.failures.add(&o.failures)
	c.slow.add(&o.slow)
}

func (v *versionRates) add(o *versionRates) {
	v.old, v.oldAny = v.old.plus(o.old), v.oldAny.plus(o.oldAny)
	for id, r := range o.replicas {
		v.replicas[id] = v.replicas[id].plus(r)
	}
}

// test states what a version has to show to be bad.
type test struct {
	// spareWorst is set if the worst replica does not count.
	spareWorst bool
	// chance is the largest probability that a version as good as the old one shows it.
	chance float64
	// slowExcess is the least difference of the rates of slow answers.
	slowExcess float64
}

func (c *comparison) judge(t test) Verdict {
	if v := c.failures.judge("failures on "+c.route, t, minFailureRate, minExcess); v.Bad {
		return v
	}
	return c.slow.judge("slow answers on "+c.route, t, minSlowRate, t.slowExcess)
}

func (v *versionRates) judge(what string, t test, minRate, excess float64) Verdict {
	expected := max(minRate, v.expected())
	fresh, exception := v.allReplicas(), ""
	if t.spareWorst {
		fresh, exception = v.withoutWorst(), " without its worst replica"
	}
	if fresh.bad < minBad || float64(fresh.bad) < (expected+excess)*float64(fresh.all) || tail(fresh.bad, fresh.all, expected) > t.chance {
		return Verdict{}
	}
	return Verdict{Bad: true, Reason: fmt.Sprintf("%s: %d of %d answers of the new version%s, %d of %d of the old version",
		what, fresh.bad, fresh.all, exception, v.old.bad, v.old.all)}
}

// expected returns the old version's rate in the compared phases with its standard error.
// While it has few answers there, its rate in all phases counts too.
func (v *versionRates) expected() float64 {
	if v.oldAny.all == 0 {
		return 0
	}
	usual := float64(v.oldAny.bad) / float64(v.oldAny.all)
	n := float64(v.old.all + minOldAnswers)
	p := (float64(v.old.bad) + usual*minOldAnswers) / n
	return min(p+math.Sqrt(p*(1-p)/n), 1)
}

// allReplicas returns the rate of the new version.
func (v *versionRates) allReplicas() rate {
	var sum rate
	for _, r := range v.replicas {
		sum = sum.plus(r)
	}
	return sum
}

// withoutWorst returns the rate of the new version without its worst replica.
func (v *versionRates) withoutWorst() rate {
	var worst rate
	worstExcess := math.Inf(-1)
	for _, r := range v.replicas {
		if excess := float64(r.bad) - minExcess*float64(r.all); r.all > 0 && excess > worstExcess {
			worst, worstExcess = r, excess
		}
	}
	sum := v.allReplicas()
	return rate{sum.bad - worst.bad, sum.all - worst.all}
}

// tail returns the probability of at least k successes in n trials of probability p.
func tail(k, n int, p float64) float64 {
	if k <= 0 {
		return 1
	}
	sum := 0.0
	logN, _ := math.Lgamma(float64(n + 1))
	for i := k; i <= n; i++ {
		logI, _ := math.Lgamma(float64(i + 1))
		logRest, _ := math.Lgamma(float64(n - i + 1))
		term := math.Exp(logN - logI - logRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return sum
}
