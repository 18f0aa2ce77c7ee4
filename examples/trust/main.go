// Command trust prints the configuration of the sample deployment of a transport trust as the
// JSON that "hyssoppitch config apply" reads.
package main

import (
	"fmt"
	"os"

	"hyssoppitch/decl/sample"
)

func main() {
	layout := sample.Layout{IP: "127.0.0.1", BasePort: 21000}
	if err := sample.Trust(layout).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
