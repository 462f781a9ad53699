package main

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/statusclient"
	"github.com/carobmill/carobmill/policy/rule"
)

const statusTimeout = 10 * time.Second

var statusCommand = command{
	name:     "status",
	synopsis: "-node ADDR[,ADDR...] | -peer ADDR[,ADDR...] -fleet NAME " + tlsSynopsis + " [-replicas] [-o text|json]",
	summary:  "Show the status of the whole fleet as collected by one node: versions, members, owners, cold and draining replicas.",
	run:      runStatus,
}

// statusFlags are the flags of the status command. Either nodes or peers is set: the status
// is queried from admin listeners, or from peer listeners, which may use TLS.
type statusFlags struct {
	nodes, peers, fleet string
	tls                 tlsFlags
	replicas            bool
}

// statusSource returns the status of a whole fleet.
type statusSource interface {
	Status(ctx context.Context) ([]*pb.NodeStatus, error)
}

func runStatus(ctx context.Context, inv *invocation) int {
	f, code, ok := inv.statusFlags()
	if !ok {
		return code
	}
	source, err := f.source()
	if err != nil {
		return inv.failed(err)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list, err := source.Status(ctx)
	if err != nil {
		return inv.failed(err)
	}
	if inv.json() {
		return inv.printStatusJSON(list)
	}
	inv.printStatus(list, f.replicas)
	return exitOK
}

func (inv *invocation) statusFlags() (*statusFlags, int, bool) {
	f := &statusFlags{}
	inv.flags.StringVar(&f.nodes, "node", "", "admin address (`ADDR`, IP address and port) of a node; of several, the first that responds is used")
	inv.flags.StringVar(&f.peers, "peer", "", "peer address (`ADDR`, IP address and port) of a node, instead of -node; of several, the first that responds is used")
	inv.flags.StringVar(&f.fleet, "fleet", "", "`NAME` of the fleet, required with -peer")
	inv.flags.BoolVar(&f.replicas, "replicas", false, "list every replica with its owners, including warm ones")
	f.tls.add(inv)
	code, ok := inv.parse()
	if ok {
		code, ok = f.tls.check(inv)
	}
	switch {
	case !ok:
		return f, code, false
	case f.nodes == "" && f.peers == "":
		return f, inv.usageError("flag -node or -peer is required"), false
	case f.nodes != "" && f.peers != "":
		return f, inv.usageError("flags -node and -peer are mutually exclusive"), false
	case f.peers != "" && f.fleet == "":
		return f, inv.usageError("flag -fleet is required with -peer"), false
	case f.nodes != "" && f.tls.anySet():
		return f, inv.usageError("flags -tls-certificate, -tls-key and -tls-authority require -peer: admin listeners speak plain HTTP"), false
	}
	code, ok = inv.checkAddresses("node", f.nodes)
	if ok {
		code, ok = inv.checkAddresses("peer", f.peers)
	}
	return f, code, ok
}

// checkAddresses reports a usage error unless list is empty or a comma-separated list of
// IP addresses with ports.
func (inv *invocation) checkAddresses(name, list string) (code int, ok bool) {
	if list == "" {
		return exitOK, true
	}
	for _, address := range strings.Split(list, ",") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return inv.usageError("flag -%s: %q is not an IP address and port", name, address), false
		}
	}
	return exitOK, true
}

func (f *statusFlags) source() (statusSource, error) {
	if f.nodes != "" {
		return statusclient.NewAdmin(strings.Split(f.nodes, ",")), nil
	}
	creds, err := f.tls.credentials()
	if err != nil {
		return nil, err
	}
	return statusclient.NewPeers(f.fleet, statusclient.Addresses(strings.Split(f.peers, ",")), creds.Client), nil
}

func (inv *invocation) printStatusJSON(list []*pb.NodeStatus) int {
	body, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.
		Marshal(&pb.StatusResponse{Nodes: list})
	if err != nil {
		return inv.failed(err)
	}
	inv.printf("%s\n", body)
	return exitOK
}

func (inv *invocation) printStatus(list []*pb.NodeStatus, all bool) {
	inv.printVersions(list)
	inv.printDataCentres(list)
	inv.printNodes(list)
	inv.printFeeds(list)
	inv.printMembers(list)
	inv.printReplicas(list, all)
	inv.printUpgrades(list)
	inv.printAccounts(list)
	inv.printObservations(list)
	inv.printSilentServices(list)
	inv.printAdmission(list)
}

// printVersions prints the versions in force with the number of nodes that have each.
func (inv *invocation) printVersions(list []*pb.NodeStatus) {
	count := make(map[uint64]int)
	unreachable := 0
	for _, n := range list {
		if n.GetError() != "" {
			unreachable++
			continue
		}
		count[n.GetConfigVersion()]++
	}
	versions := make([]uint64, 0, len(count))
	for version := range count {
		versions = append(versions, version)
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] > versions[j] })
	inv.printf("%d nodes\n", len(list))
	for _, version := range versions {
		inv.printf("configuration version %d in force on %d\n", version, count[version])
	}
	if unreachable > 0 {
		inv.printf("cannot be asked: %d\n", unreachable)
	}
}

func (inv *invocation) printNodes(list []*pb.NodeStatus) {
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tDATA CENTRE\tREADY\tVERSION\tPLATFORM\tCALLS\tWATCHER\tALIVE\tOWNED\tREMARK")
	for _, n := range list {
		if n.GetError() != "" {
			_, _ = fmt.Fprintf(w, "%s\t%s\t?\t?\t?\t?\t?\t?\t?\tcannot be asked: %s\n", n.GetNode(), n.GetDataCentre(), n.GetError())
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%d\t%d\t%s\n", n.GetNode(), n.GetDataCentre(),
			yesNo(n.GetReady()), n.GetConfigVersion(), upDown(n.GetPlatformReachable()), n.GetPlatformCalls(),
			yesNo(n.GetWatcher()), n.GetMembersAlive(), len(n.GetOwned()), n.GetUnreadyReason())
	}
	_ = w.Flush()
}

// printMembers prints the members that are not alive, with the number of nodes that report
// that state. Nodes disagree during a network partition.
func (inv *invocation) printMembers(list []*pb.NodeStatus) {
	type observation struct {
		node  string
		state pb.MemberState
	}
	counts := make(map[observation]int)
	for _, n := range list {
		for _, m := range n.GetMembers() {
			if m.GetState() != pb.MemberState_MEMBER_STATE_ALIVE {
				counts[observation{m.GetNode(), m.GetState()}]++
			}
		}
	}
	observations := make([]observation, 0, len(counts))
	for o := range counts {
		observations = append(observations, o)
	}
	sort.Slice(observations, func(i, j int) bool {
		if observations[i].node != observations[j].node {
			return observations[i].node < observations[j].node
		}
		return observations[i].state < observations[j].state
	})
	for _, o := range observations {
		inv.printf("member %s is %s as seen by %d nodes\n", o.node,
			rule.ShortName(o.state.Descriptor().Values().ByNumber(o.state.Number())), counts[o])
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func upDown(up bool) string {
	if up {
		return "up"
	}
	return "unreachable"
}
