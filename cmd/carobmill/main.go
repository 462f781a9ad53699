// Command carobmill runs a node of the query tier.
//
//	carobmill run -settings FILE
//	carobmill check-settings FILE
//	carobmill version
package main

import (
	"os"

	"github.com/carobmill/carobmill/node/command"
)

func main() { os.Exit(command.Main(nil)) }
