package configstate

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/modeltest"
)

func configuration(version uint64, publishID string) *pb.Configuration {
	return &pb.Configuration{
		Version:   version,
		PublishId: publishID,
		Sheet: &pb.Sheet{
			Fleet:       "f",
			DataCentres: []*pb.DataCentre{{Name: "a"}},
			Services:    []*pb.Service{{Name: "s", Generations: []*pb.Generation{{Id: 1}}}},
		},
	}
}

// broken is a variant of the policy that the check has to catch.
type broken struct {
	// takesAny puts any version in force, as if the comparison were missing.
	takesAny bool
	// startsOnOldest has a starting node take the lowest answer.
	startsOnOldest bool
	// blindWrite has an operator write without comparing.
	blindWrite bool
}

// acceptance is a platform's key, operators who race to change it, and nodes
// that read it, pull from each other, restart and read from the past.
type acceptance struct {
	broken
	// accepted is the oracle: every configuration ever accepted, by version.
	accepted []*pb.Configuration
	drafts   []*pb.Configuration
	nodes    []*acceptNode
}

type acceptNode struct {
	state *State
	// highest version ever in force here since the last restart.
	highest uint64
}

// value returns what a read of the key gives: the newest value, or an older one
// when the platform answers from the past.
func (a *acceptance) value(behind int) *pb.Configuration {
	return a.accepted[max(0, len(a.accepted)-1-behind)]
}

// draft has an operator read the key, perhaps from the past, and write a change.
func (a *acceptance) draft(t *rapid.T) {
	behind := rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "behind")
	version := a.value(behind).GetVersion() + 1
	a.drafts = append(a.drafts, configuration(version, fmt.Sprint("publish-", version, "-", len(a.drafts))))
}

// write carries out a draft, once or again after a lost answer. The platform
// compares the version that the draft replaces with the one it holds.
func (a *acceptance) write(t *rapid.T) {
	if len(a.drafts) == 0 {
		return
	}
	d := a.drafts[rapid.IntRange(0, len(a.drafts)-1).Draw(t, "draft")]
	if a.blindWrite || a.value(0).GetVersion() == d.GetVersion()-1 {
		a.accepted = append(a.accepted, d)
	}
}

func (a *acceptance) offer(n *acceptNode, c *pb.Configuration) {
	if c == nil {
		return
	}
	if a.takesAny && c.GetVersion() > 0 {
		n.state = New("f")
	}
	_, _ = n.state.Offer(c)
}

// start is what a node with nothing does without the platform: it asks some
// peers and takes what several hold.
func (a *acceptance) start(t *rapid.T, n *acceptNode) {
	var answers []PeerVersion
	for i, peer := range a.nodes {
		if peer != n && rapid.Bool().Draw(t, "answers") {
			answers = append(answers, PeerVersion{Peer: fmt.Sprint(i), Version: peer.state.Version()})
		}
	}
	version, sources := StartVersion(answers, len(a.nodes)-1)
	if a.startsOnOldest {
		version, sources = a.accepted[0].GetVersion(), nil
		_, _ = n.state.Offer(a.accepted[0])
	}
	if version == 0 {
		return
	}
	atLeast := 0
	for _, h := range answers {
		if h.Version >= version {
			atLeast++
		}
	}
	if atLeast < min(witnesses, len(a.nodes)-1) {
		t.Fatalf("StartsOnlyOnWhatSeveralHold: version %d, which %d of %d hold", version, atLeast, len(answers))
	}
	for _, source := range sources {
		var i int
		_, _ = fmt.Sscan(source, &i)
		a.offer(n, a.nodes[i].state.Index().Raw)
	}
}

// check holds what must always be true.
func (a *acceptance) check(t *rapid.T) {
	ids := make(map[uint64]string)
	for _, c := range a.accepted {
		if id, ok := ids[c.GetVersion()]; ok && id != c.GetPublishId() {
			t.Fatalf("OneConfigurationAVersion: version %d is %s and %s", c.GetVersion(), id, c.GetPublishId())
		}
		ids[c.GetVersion()] = c.GetPublishId()
	}
	for i, n := range a.nodes {
		version := n.state.Version()
		if version < n.highest {
			t.Fatalf("AcceptedConfigurationNeverReverts: node %d went from version %d to %d", i, n.highest, version)
		}
		n.highest = version
		if version != 0 && ids[version] != n.state.Index().Raw.GetPublishId() {
			t.Fatalf("OnlyAcceptedIsInForce: node %d has %s in force", i, n.state.Index().Raw.GetPublishId())
		}
	}
}

func acceptanceLife(v broken) func(*rapid.T) {
	return func(t *rapid.T) {
		a := &acceptance{broken: v, accepted: []*pb.Configuration{configuration(1, "first")}}
		for range rapid.IntRange(2, 5).Draw(t, "nodes") {
			a.nodes = append(a.nodes, &acceptNode{state: New("f")})
		}
		node := func(t *rapid.T) *acceptNode {
			return a.nodes[rapid.IntRange(0, len(a.nodes)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"draft":  a.draft,
			"write":  a.write,
			"write2": a.write,
			"read": func(t *rapid.T) {
				a.offer(node(t), a.value(rapid.IntRange(0, 5).Draw(t, "behind")))
			},
			"pull": func(t *rapid.T) {
				if from := node(t); from.state.Index() != nil {
					a.offer(node(t), from.state.Index().Raw)
				}
			},
			"restart": func(t *rapid.T) {
				n := node(t)
				n.state, n.highest = New("f"), 0
				a.start(t, n)
			},
			"": a.check,
		})
	}
}

// Operators race, answers are lost and drafts written again, reads come from the
// past, nodes restart with nothing and ask their peers. Whatever the order, a
// node in force never goes back, and only accepted versions are in force. A long
// run with a fresh seed:
//
//	go test ./policy/configstate -run NeverDecreases -rapid.checks=500000 -rapid.seed=$RANDOM
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, acceptanceLife(broken{}))
}

// The seed is the one of modeltest.
func TestVersionCheckCatchesBrokenVariants(t *testing.T) {
	for name, v := range map[string]broken{
		"no comparison of versions": {takesAny: true},
		"start on the oldest":       {startsOnOldest: true},
		"write without comparing":   {blindWrite: true},
	} {
		t.Run(name, func(t *testing.T) { modeltest.ExpectFailure(t, "", acceptanceLife(v)) })
	}
}

func TestStartVersion(t *testing.T) {
	c := qt.New(t)
	held := func(versions ...uint64) []PeerVersion {
		var list []PeerVersion
		for i, v := range versions {
			list = append(list, PeerVersion{Peer: fmt.Sprint("p", i), Version: v})
		}
		return list
	}
	for _, tc := range []struct {
		answers []PeerVersion
		known   int
		want    uint64
	}{
		{nil, 0, 0},
		{held(7), 3, 0},
		{held(7), 1, 7},
		{held(7, 5, 4), 3, 5},
		{held(7, 7, 9), 3, 7},
		{held(0, 7), 2, 0},
		{held(0, 0), 2, 0},
	} {
		version, sources := StartVersion(tc.answers, tc.known)
		c.Check(version, qt.Equals, tc.want, qt.Commentf("%v of %d", tc.answers, tc.known))
		c.Check(len(sources) > 0, qt.Equals, tc.want > 0)
	}
}

func TestWatcherCountIsLimited(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 94 {
		names = append(names, fmt.Sprint("vm-", i))
	}
	watching := 0
	for _, name := range names {
		if IsWatcher(name, "a", names, 2) {
			watching++
		}
	}
	c.Assert(watching, qt.Equals, 2)
}

func TestConfigurationOfAnotherFleetIsRejected(t *testing.T) {
	c := qt.New(t)
	foreign := configuration(9, "x")
	foreign.Sheet.Fleet = "other"
	verdict, err := New("f").Offer(foreign)
	c.Assert(verdict, qt.Equals, Invalid)
	c.Assert(err, qt.ErrorMatches, "configuration belongs to fleet other")
}
