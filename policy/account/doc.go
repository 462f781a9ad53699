// Package account holds the client accounts of a configuration: the keys by which callers
// authenticate, and the limits and the priority of each account. The package does no I/O.
package account
