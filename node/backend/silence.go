package backend

import (
	"context"
	"net/http"
	"time"
)

// silenceFactor times the slowest recent reply is the time after which a
// connection without a byte is examined.
const silenceFactor = 4

// slowestDecay is the part of the slowest recent reply that each reply leaves.
const slowestDecay = 0.98

func (p *pool) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowest = max(took, time.Duration(float64(p.slowest)*slowestDecay))
}

func (p *pool) silenceAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.client.opts.SilenceTimeout, silenceFactor*p.slowest)
}

// examine finds out whether a connection without a byte since the given time has gone
// silent. A slow replica shows no byte either, so that the connection is condemned only when
// a newer one to the same replica has received something since. Then every other idle
// connection from before is probed too: a lost state of the path costs one attempt, not one
// for each connection.
func (p *pool) examine(cn *conn, since time.Time) {
	if heard(cn, since) || !p.beginExamination() {
		return
	}
	defer p.endExamination()
	if !p.newerWorks(cn, since) && !p.freshWorks() {
		return
	}
	if heard(cn, since) {
		return
	}
	p.condemn(cn)
	p.probeOthers(since)
}

// examineIfMute examines after a cancelled exchange, unless any connection to
// the replica has received something since it was sent: then one silent
// connection was closed with the exchange, and the others are known to work or
// will be examined when they are used.
func (p *pool) examineIfMute(cn *conn, since time.Time) {
	if heard(cn, since) || p.anyHeard(since) {
		return
	}
	p.examine(cn, since)
}

func heard(cn *conn, since time.Time) bool {
	return cn.wire.lastRead().After(since)
}

func (p *pool) anyHeard(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.conns {
		if heard(cn, since) {
			return true
		}
	}
	return false
}

// beginExamination allows one examination at a time, so that many silent
// connections cost one probe and not one each.
func (p *pool) beginExamination() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.examining {
		return false
	}
	p.examining = true
	return true
}

func (p *pool) endExamination() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.examining = false
}

// newerWorks reports whether a connection opened after cn received something
// since.
func (p *pool) newerWorks(cn *conn, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.conns {
		if other.wire.start.After(cn.wire.start) && other.wire.read.Load() > 0 && heard(other, since) {
			return true
		}
	}
	return false
}

// freshWorks opens a connection inside the share and asks for the replica's
// status on it. The connection stays in the pool, as the replacement.
func (p *pool) freshWorks() bool {
	if !p.reserveDial() {
		return false
	}
	fresh, err := p.connect()
	ok := err == nil && p.probe(fresh)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	switch {
	case err != nil:
	case !ok || p.limit <= 0:
		p.closeLocked(fresh)
	default:
		p.conns = append(p.conns, fresh)
	}
	p.grantLocked()
	p.dialLocked()
	return ok
}

// reserveDial makes room for one connection. With the share in use, the idle
// connection that has been quiet for longest makes way.
func (p *pool) reserveDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit <= 0 {
		return false
	}
	if len(p.conns)+p.dialling >= p.allowedLocked() {
		oldest := -1
		for i, cn := range p.conns {
			if cn.inFlight == 0 && (oldest < 0 || cn.wire.lastRead().Before(p.conns[oldest].wire.lastRead())) {
				oldest = i
			}
		}
		if oldest < 0 {
			return false
		}
		p.closeLocked(p.conns[oldest])
		p.conns = append(p.conns[:oldest], p.conns[oldest+1:]...)
	}
	p.dialling++
	return true
}

// probe asks for the status on one connection.
func (p *pool) probe(cn *conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.opts.ProbeTimeout)
	defer cancel()
	return p.probeWithin(ctx, cn)
}

func (p *pool) probeWithin(ctx context.Context, cn *conn) bool {
	ex := newExchange(p, cn, &Call{}, http.MethodGet, pathStatus)
	reply, _ := ex.roundTrip(ex.request(ctx))
	return reply.OK()
}

// condemn closes a silent connection. Its place in the share stays taken for
// CloseTimeout, since the backend server does not notice the close.
func (p *pool) condemn(cn *conn) {
	p.client.stats.condemned.Add(1)
	p.client.opts.Event("connection condemned", p.name, "silent while a newer connection works")
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.silent = true
	p.closeLocked(cn)
}

func (p *pool) wasCondemned(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cn.silent
}

// probeOthers takes every idle connection that received nothing since out of
// use until it has answered a probe; those that do not answer are condemned.
func (p *pool) probeOthers(since time.Time) {
	p.mu.Lock()
	var suspects []*conn
	for _, cn := range p.conns {
		if cn.inFlight == 0 && !heard(cn, since) {
			cn.suspect = true
			suspects = append(suspects, cn)
		}
	}
	p.mu.Unlock()
	for _, cn := range suspects {
		go func() {
			answered := p.probe(cn)
			if !answered {
				p.condemn(cn)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			cn.suspect = false
			p.pruneLocked()
			p.grantLocked()
			p.dialLocked()
		}()
	}
}
