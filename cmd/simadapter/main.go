// Command simadapter runs routers' decisions under the simulator: batches of events on standard input, replies on
// standard output. It ends with status 1 on a malformed batch.
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
