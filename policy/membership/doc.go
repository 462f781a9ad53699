// Package membership implements the fleet's membership protocol. It determines the
// state of each node from pings, from gossip in messages, and from the platform's
// VM list, which lags behind. The package performs no I/O: the caller pings the
// targets that Table selects and reports the results to the Table.
//
// A member is one run of a process, identified by the VM's name and a random boot
// number. Only the member itself increments its incarnation, which refutes reports
// that it is suspect or dead. A member that does not answer becomes suspect and then
// dead. A dead member may still be running behind a partition. A member becomes gone
// only when it announces that it has left, when another boot answers under its name
// or address, or when it is dead and the platform no longer lists its VM.
package membership
