// Package node contains the packages of a running node: network adapters, the worker pool
// and shared tables. Module policy contains the decision logic that they use.
package node
