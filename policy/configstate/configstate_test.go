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

// brokenVariant selects a fault in the policy that the model must detect.
type brokenVariant struct {
	// acceptsAnyVersion skips the comparison of versions.
	acceptsAnyVersion bool
	// startsOnOldest makes a starting node use the oldest configuration.
	startsOnOldest bool
	// unconditionalWrite makes an operator write without compare-and-swap.
	unconditionalWrite bool
}

// versionModel consists of a platform key, operators that write it concurrently,
// and nodes that read it, possibly stale, pull from each other and restart.
type versionModel struct {
	brokenVariant
	// accepted is the oracle: all accepted configurations, in order of version.
	accepted []*pb.Configuration
	drafts   []*pb.Configuration
	nodes    []*modelNode
}

type modelNode struct {
	state *State
	// highest is the highest version in force since the last restart.
	highest uint64
}

// value returns the value of the key that a read returns. A stale read is behind
// by that many versions.
func (m *versionModel) value(behind int) *pb.Configuration {
	return m.accepted[max(0, len(m.accepted)-1-behind)]
}

// draft makes an operator read the key, possibly stale, and prepare a change.
func (m *versionModel) draft(t *rapid.T) {
	behind := rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "behind")
	version := m.value(behind).GetVersion() + 1
	m.drafts = append(m.drafts, configuration(version, fmt.Sprint("publish-", version, "-", len(m.drafts))))
}

// write writes a draft, possibly again after a lost response. The platform accepts
// it only if the draft replaces the current version.
func (m *versionModel) write(t *rapid.T) {
	if len(m.drafts) == 0 {
		return
	}
	draft := m.drafts[rapid.IntRange(0, len(m.drafts)-1).Draw(t, "draft")]
	if m.unconditionalWrite || m.value(0).GetVersion() == draft.GetVersion()-1 {
		m.accepted = append(m.accepted, draft)
	}
}

func (m *versionModel) offer(n *modelNode, c *pb.Configuration) {
	if c == nil {
		return
	}
	if m.acceptsAnyVersion && c.GetVersion() > 0 {
		n.state = New("f")
	}
	_, _ = n.state.Offer(c)
}

// start selects the first configuration of a node that cannot reach the platform,
// from the answers of some peers.
func (m *versionModel) start(t *rapid.T, n *modelNode) {
	var answers []PeerVersion
	for i, peer := range m.nodes {
		if peer != n && rapid.Bool().Draw(t, "answers") {
			answers = append(answers, PeerVersion{Peer: fmt.Sprint(i), Version: peer.state.Version()})
		}
	}
	version, sources := StartVersion(answers, len(m.nodes)-1)
	if m.startsOnOldest {
		version, sources = m.accepted[0].GetVersion(), nil
		_, _ = n.state.Offer(m.accepted[0])
	}
	if version == 0 {
		return
	}
	atLeast := 0
	for _, a := range answers {
		if a.Version >= version {
			atLeast++
		}
	}
	if atLeast < min(startQuorum, len(m.nodes)-1) {
		t.Fatalf("StartVersionHasQuorum: start with version %d, which only %d of %d peers have reached",
			version, atLeast, len(answers))
	}
	for _, source := range sources {
		var i int
		_, _ = fmt.Sscan(source, &i)
		m.offer(n, m.nodes[i].state.Index().Raw)
	}
}

// check verifies the invariants.
func (m *versionModel) check(t *rapid.T) {
	ids := make(map[uint64]string)
	for _, c := range m.accepted {
		if id, ok := ids[c.GetVersion()]; ok && id != c.GetPublishId() {
			t.Fatalf("OneConfigurationPerVersion: version %d is both %s and %s", c.GetVersion(), id, c.GetPublishId())
		}
		ids[c.GetVersion()] = c.GetPublishId()
	}
	for i, n := range m.nodes {
		version := n.state.Version()
		if version < n.highest {
			t.Fatalf("AcceptedConfigurationNeverReverts: node %d changed from version %d to %d", i, n.highest, version)
		}
		n.highest = version
		if version != 0 && ids[version] != n.state.Index().Raw.GetPublishId() {
			t.Fatalf("OnlyAcceptedIsInForce: node %d has %s in force, which the platform did not accept",
				i, n.state.Index().Raw.GetPublishId())
		}
	}
}

func versionProperty(v brokenVariant) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &versionModel{brokenVariant: v, accepted: []*pb.Configuration{configuration(1, "first")}}
		for range rapid.IntRange(2, 5).Draw(t, "nodes") {
			m.nodes = append(m.nodes, &modelNode{state: New("f")})
		}
		node := func(t *rapid.T) *modelNode {
			return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"draft":  m.draft,
			"write":  m.write,
			"write2": m.write,
			"read": func(t *rapid.T) {
				m.offer(node(t), m.value(rapid.IntRange(0, 5).Draw(t, "behind")))
			},
			"pull": func(t *rapid.T) {
				if from := node(t); from.state.Index() != nil {
					m.offer(node(t), from.state.Index().Raw)
				}
			},
			"restart": func(t *rapid.T) {
				n := node(t)
				n.state, n.highest = New("f"), 0
				m.start(t, n)
			},
			"": m.check,
		})
	}
}

// Guards against a node that reverts to an older configuration or applies one that
// the platform did not accept, under concurrent writes, lost responses, stale reads
// and restarts. Longer run with a new seed:
//
//	go test ./policy/configstate -run NeverDecreases -rapid.checks=500000 -rapid.seed=$RANDOM
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, versionProperty(brokenVariant{}))
}

func TestVersionCheckCatchesBrokenVariants(t *testing.T) {
	for name, v := range map[string]brokenVariant{
		"version is not compared": {acceptsAnyVersion: true},
		"start with the oldest":   {startsOnOldest: true},
		"write is unconditional":  {unconditionalWrite: true},
	} {
		t.Run(name, func(t *testing.T) { modeltest.ExpectFailure(t, "", versionProperty(v)) })
	}
}

func TestStartVersion(t *testing.T) {
	c := qt.New(t)
	peersAt := func(versions ...uint64) []PeerVersion {
		var list []PeerVersion
		for i, v := range versions {
			list = append(list, PeerVersion{Peer: fmt.Sprint("p", i), Version: v})
		}
		return list
	}
	for _, tc := range []struct {
		answers   []PeerVersion
		peerCount int
		want      uint64
	}{
		{nil, 0, 0},
		{peersAt(7), 3, 0},
		{peersAt(7), 1, 7},
		{peersAt(7, 5, 4), 3, 5},
		{peersAt(7, 7, 9), 3, 7},
		{peersAt(0, 7), 2, 0},
		{peersAt(0, 0), 2, 0},
	} {
		version, sources := StartVersion(tc.answers, tc.peerCount)
		c.Check(version, qt.Equals, tc.want, qt.Commentf("answers %v of %d peers", tc.answers, tc.peerCount))
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
	config := configuration(9, "x")
	config.Sheet.Fleet = "other"
	outcome, err := New("f").Offer(config)
	c.Assert(outcome, qt.Equals, Invalid)
	c.Assert(err, qt.ErrorMatches, "configuration belongs to fleet other")
}
