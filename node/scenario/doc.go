// Package scenario contains multi-node tests. Real nodes use stand-ins for the platform
// and the backend servers. Each test injects a failure and checks the answers to callers.
package scenario
