// Package standin groups test stand-ins for the external dependencies of a
// deployment: the platform, backend servers, the network and a certificate
// authority.
package standin
