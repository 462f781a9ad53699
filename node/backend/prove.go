package backend

import (
	"context"
	"time"
)

const (
	// quietBound is how long after its last byte a connection counts as alive.
	quietBound = 100 * time.Millisecond
	// proveTimeout bounds the status request that proves a connection alive. A
	// replica that takes longer is no place for a request that is sent once.
	proveTimeout = 100 * time.Millisecond
)

// prove asks for the status on a connection before a non-idempotent request is written on
// it, unless it was heard of a moment ago. A silent connection would leave the outcome
// unknown although the request never arrived; one that goes silent within quietBound still
// does.
func (p *pool) prove(ctx context.Context, cn *conn) bool {
	if time.Since(cn.wire.lastRead()) < quietBound || p.unused(cn) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	began := time.Now()
	if p.probeWithin(ctx, cn) {
		return true
	}
	if p.h2 {
		// Other streams share the connection; a slow replica must not cost them
		// theirs. The examination closes it if it is really silent.
		p.release(cn, true)
		go p.examine(cn, began)
		return false
	}
	p.release(cn, false)
	go p.examineOthers(began)
	return false
}

// unused reports whether a connection has just been opened for this exchange.
func (p *pool) unused(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cn.used == 0
}

// examineOthers probes every connection that was quiet since the given time, if
// a fresh one shows that the replica itself is well.
func (p *pool) examineOthers(since time.Time) {
	if !p.beginExamination() {
		return
	}
	defer p.endExamination()
	if p.freshWorks() {
		p.probeOthers(since)
	}
}
