// Package admission decides at the entry node whether a query runs. A query is
// admitted or refused as a whole and immediately; none is queued.
//
// Each service has its own Controller, because services share no backend servers.
// A Controller is not safe for concurrent use.
package admission
