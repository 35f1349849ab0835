// Command simadapter runs the decision module on the simulator's wire: batches
// on standard input, replies on standard output.
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
