// Package api contains the schema of carobmill: protobuf sources under proto, and
// the committed code generated from them in carobmillv1 (messages) and peerv1
// (services between nodes). To regenerate the code, run generate.sh.
package api
