// Command hyssoppitch is the query tier and its operators' tool.
package main

import (
	"os"

	"hyssoppitch/internal/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
