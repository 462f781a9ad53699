// Package backend is a test stand-in for a backend server. It implements the query
// and execute contract of docs/design/backend-adapter.md over HTTP/1.1 and
// cleartext HTTP/2, with fault injection. A request does no work: it holds a slot
// for the configured service time.
package backend
