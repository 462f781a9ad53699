// Package cmd is the parent of the commands carobmill and carobmillctl, and of the packages
// that implement the larger subcommands of carobmillctl.
package cmd
