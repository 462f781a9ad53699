// Package simulation runs the dispatch of requests in virtual time against a platform
// and a backend service that lose, delay and duplicate messages. A property-based
// test (rapid) draws the faults. The simulation counts the runs of each request, so
// that a test can compare them with the reported outcomes.
package simulation

import "github.com/carobmill/carobmill/policy/dispatch"

// Variant is a deliberate fault in the machine, injected by altering its events or
// actions. A nil function alters nothing.
type Variant struct {
	// OnEvent alters the event that answers an action.
	OnEvent func(e dispatch.Event, answers dispatch.Action) dispatch.Event
	// OnAction alters an action; nil drops the action.
	OnAction func(dispatch.Action) dispatch.Action
}

func (v Variant) event(e dispatch.Event, answers dispatch.Action) dispatch.Event {
	if v.OnEvent == nil {
		return e
	}
	return v.OnEvent(e, answers)
}

func (v Variant) actions(actions []dispatch.Action) []dispatch.Action {
	if v.OnAction == nil {
		return actions
	}
	var kept []dispatch.Action
	for _, a := range actions {
		if a = v.OnAction(a); a != nil {
			kept = append(kept, a)
		}
	}
	return kept
}
