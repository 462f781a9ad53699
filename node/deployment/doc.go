// Package deployment runs a complete deployment in one process, for the demo and
// for multi-node tests. The platform and the backend servers are stand-ins. The
// nodes are the production code, and connect over loopback TCP by default.
package deployment
