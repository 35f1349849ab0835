// Command simadapter runs the policy of routers under the simulator. It reads batches of events from standard input
// and writes the replies to standard output. It exits with status 1 on a malformed batch.
package main

import (
	"fmt"
	"os"

	"quilldoor/internal/simhost"
)

func main() {
	if err := simhost.New(os.Stderr).Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
