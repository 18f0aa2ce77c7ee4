// Command hyssoppitch runs an instance of the query tier, and the operators' commands.
package main

import (
	"os"

	"hyssoppitch/internal/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
