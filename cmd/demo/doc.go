// Package demo runs a complete deployment in one process on the loopback
// interface: stand-ins for the platform and for the backend servers of a sheet,
// and two nodes in each data centre. The demo publishes the sheet and sends one
// query to each service.
package demo
