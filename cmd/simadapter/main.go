// Command simadapter runs the balancers of many simulated proxies in one process. It reads the simulator's
// events from standard input and writes the balancers' actions to standard output, as JSON lines; package
// balancer makes every decision.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simadapter: %v\n", err)
		os.Exit(1)
	}
}
