// Package node assembles a carobmill node from its components and runs it. It starts the
// servers and stops them in the order that a graceful shutdown needs.
package node
