// Command standin runs stand-ins for the systems around hyssoppitch: the platform's
// store, backend servers and callers. It also runs a demonstration of a complete
// deployment.
package main

import (
	"os"

	"hyssoppitch/internal/standin/tools"
)

func main() { os.Exit(tools.Main(os.Args[1:], os.Stdout, os.Stderr)) }
