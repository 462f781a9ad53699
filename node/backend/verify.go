package backend

import (
	"context"
	"time"
)

const (
	// recentReadWindow is how long after its last received byte a connection counts
	// as alive.
	recentReadWindow = 100 * time.Millisecond
	// verifyTimeout bounds the status request of verifyAlive. A request that must be
	// sent only once is not sent to a slower replica.
	verifyTimeout = 100 * time.Millisecond
)

// verifyAlive probes a connection before a non-idempotent request is written to it, unless
// the connection is new or has received data within recentReadWindow. On a silent
// connection the outcome would be unknown although the request never arrived, and the caller
// could not send it again. This can still
// happen to a connection that goes silent within recentReadWindow. If verifyAlive returns
// false, the connection has been released.
func (p *pool) verifyAlive(ctx context.Context, cn *conn) bool {
	if time.Since(cn.netConn.lastRead()) < recentReadWindow || p.isNew(cn) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	began := time.Now()
	if p.probeContext(ctx, cn) {
		return true
	}
	if p.h2 {
		// Other streams share the connection; a slow replica must not end them.
		// checkSilence closes the connection if it is silent.
		p.release(cn, true)
		go p.checkSilence(cn, began)
		return false
	}
	p.release(cn, false)
	go p.checkOthers(began)
	return false
}

// isNew reports whether a connection has not been used for an exchange.
func (p *pool) isNew(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cn.used == 0
}

// checkOthers probes the idle connections that have received nothing since the given
// time, if a new connection shows that the replica works.
func (p *pool) checkOthers(since time.Time) {
	if !p.beginCheck() {
		return
	}
	defer p.endCheck()
	if p.probeNewConn() {
		p.probeIdle(since)
	}
}
