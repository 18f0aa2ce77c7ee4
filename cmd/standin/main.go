// Command standin runs stand-ins for what surrounds hyssoppitch: the platform's
// store, backend servers and callers; and a demonstration of the whole path.
package main

import (
	"os"

	"hyssoppitch/internal/standin/tools"
)

func main() { os.Exit(tools.Main(os.Args[1:], os.Stdout, os.Stderr)) }
