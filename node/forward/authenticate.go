package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/route"
)

// headerAuthorization holds the credentials of a request.
const headerAuthorization = "Authorization"

// TakeCredentials removes the Authorization header from h and returns its values.
func TakeCredentials(h http.Header) []string {
	values := h[headerAuthorization]
	delete(h, headerAuthorization)
	return values
}

// authenticate returns a copy of the request for its attempts: without credentials, and with
// the account that holds its key. Without accounts in the configuration, the Authorization
// header is one for the replicas. The account is nil for a request without a valid key, which
// only a public route accepts.
func authenticate(x *route.Index, r *route.Route, req *Request) (*Request, *account.Account, account.Fault) {
	authenticated := *req
	authenticated.Credentials, authenticated.Account = nil, ""
	if x.Accounts == nil {
		if len(req.Credentials) > 0 {
			authenticated.Header = req.Header.Clone()
			authenticated.Header[headerAuthorization] = req.Credentials
		}
		return &authenticated, nil, ""
	}
	key, fault := account.Key(req.Credentials)
	var a *account.Account
	if fault == "" {
		if a = x.Accounts.Authenticate(key); a == nil {
			fault = account.FaultUnknown
		}
	}
	if a != nil {
		authenticated.Account = a.Name
	}
	if r.Public {
		fault = ""
	}
	return &authenticated, a, fault
}

// rejectUnauthenticated answers a request without a valid key.
func (f *Forwarder) rejectUnauthenticated(req *Request, r *route.Route, version uint64, fault account.Fault) Answer {
	if f.logLimiter.Allow(time.Now(), false) {
		f.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "route": r.Name, "version": version, "outcome": Unauthenticated.String(), "reason": string(fault),
		}).Info("request without a valid key")
	}
	return Answer{Outcome: Unauthenticated, Body: []byte(fault + "\n")}
}

// keysOutdated reports whether this node may have missed the removal of a key for longer than
// Options.RevocationBound allows.
func (f *Forwarder) keysOutdated(x *route.Index, r *route.Route) bool {
	bound := f.opts.RevocationBound
	return bound > 0 && x.Accounts != nil && !r.Public && time.Since(f.opts.Source.LastAnswer()) > bound
}
