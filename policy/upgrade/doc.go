// Package upgrade decides how the traffic of a service moves from the replicas of one
// version to those of another: how many requests the new version receives before it is
// judged, whether it answers worse than the old one, and when the move is complete. The
// package does no I/O and reads no clock.
//
// Every node has a Gate for each service that is upgraded. One node leads the upgrade: it
// collects the gates' reports, judges the new version by them, and grants the next phase.
package upgrade
