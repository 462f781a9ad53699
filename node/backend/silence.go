package backend

import (
	"context"
	"net/http"
	"time"
)

// silenceFactor times the slowest recent reply is the time without received data
// after which a connection is checked.
const silenceFactor = 4

// slowestDecay is the factor by which each reply reduces slowestReply.
const slowestDecay = 0.98

func (p *pool) observeLatency(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowestReply = max(took, time.Duration(float64(p.slowestReply)*slowestDecay))
}

func (p *pool) silenceTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.client.opts.SilenceTimeout, silenceFactor*p.slowestReply)
}

// checkSilence closes a connection that has received nothing since the given time, if the
// replica itself works. A slow replica sends nothing either, so the connection is closed only
// when a newer one to the same replica has received data since. All other idle connections
// without data since that time are then probed too. Otherwise state lost by a middlebox would
// cost one attempt for each connection.
func (p *pool) checkSilence(cn *conn, since time.Time) {
	if receivedSince(cn, since) || !p.beginCheck() {
		return
	}
	defer p.endCheck()
	if !p.newerReceivedSince(cn, since) && !p.probeNewConn() {
		return
	}
	if receivedSince(cn, since) {
		return
	}
	p.closeSilent(cn)
	p.probeIdle(since)
}

// checkSilenceAfterCancel runs checkSilence after a cancelled exchange, unless a
// connection to the replica has received data since the exchange was sent. In that
// case the exchange has closed its own connection, and the others work or are
// checked when they are used.
func (p *pool) checkSilenceAfterCancel(cn *conn, since time.Time) {
	if receivedSince(cn, since) || p.anyReceivedSince(since) {
		return
	}
	p.checkSilence(cn, since)
}

func receivedSince(cn *conn, since time.Time) bool {
	return cn.netConn.lastRead().After(since)
}

func (p *pool) anyReceivedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.conns {
		if receivedSince(cn, since) {
			return true
		}
	}
	return false
}

// beginCheck allows one check at a time, so that many silent connections cause one
// probe and not one each.
func (p *pool) beginCheck() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checking {
		return false
	}
	p.checking = true
	return true
}

func (p *pool) endCheck() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
}

// newerReceivedSince reports whether a connection opened after cn has received data
// since the given time.
func (p *pool) newerReceivedSince(cn *conn, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.conns {
		if other.netConn.openedAt.After(cn.netConn.openedAt) && other.netConn.lastReadNanos.Load() > 0 && receivedSince(other, since) {
			return true
		}
	}
	return false
}

// probeNewConn opens a connection within the share and requests the replica's
// status on it. If the probe succeeds, the connection is added to the pool.
func (p *pool) probeNewConn() bool {
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

// reserveDial reserves capacity for one connection. If the share is in use, it
// closes the idle connection whose last received data is the oldest.
func (p *pool) reserveDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit <= 0 {
		return false
	}
	if len(p.conns)+p.dialling >= p.maxOpenLocked() {
		oldest := -1
		for i, cn := range p.conns {
			if cn.inFlight == 0 && (oldest < 0 || cn.netConn.lastRead().Before(p.conns[oldest].netConn.lastRead())) {
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

// probe requests the replica's status on one connection.
func (p *pool) probe(cn *conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.opts.ProbeTimeout)
	defer cancel()
	return p.probeContext(ctx, cn)
}

func (p *pool) probeContext(ctx context.Context, cn *conn) bool {
	ex := newExchange(p, cn, &Call{}, http.MethodGet, pathStatus)
	reply, _ := ex.roundTrip(ex.request(ctx))
	return reply.OK()
}

// closeSilent closes a silent connection. The connection counts against the share
// for CloseTimeout, since the backend server does not notice the close.
func (p *pool) closeSilent(cn *conn) {
	p.client.stats.silentClosed.Add(1)
	p.client.opts.Event("connection condemned", p.name, "received no data while a newer connection works")
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.silent = true
	p.closeLocked(cn)
}

func (p *pool) wasClosedSilent(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cn.silent
}

// probeIdle suspends every idle connection that has received nothing since the given
// time until a probe is answered on it, and closes those without an answer.
func (p *pool) probeIdle(since time.Time) {
	p.mu.Lock()
	var suspects []*conn
	for _, cn := range p.conns {
		if cn.inFlight == 0 && !receivedSince(cn, since) {
			cn.suspect = true
			suspects = append(suspects, cn)
		}
	}
	p.mu.Unlock()
	for _, cn := range suspects {
		go func() {
			answered := p.probe(cn)
			if !answered {
				p.closeSilent(cn)
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
