// Command wirehost runs the decision module on the simulator's wire: batches
// on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"quilldoor/internal/host"
)

func main() {
	if err := host.New(os.Stderr).Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
