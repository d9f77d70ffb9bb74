// Command lgctl is the command line of operators and teams. Package ctl implements
// it.
package main

import (
	"os"

	"laburnumgrade/internal/ctl"
)

func main() {
	environment := ctl.Environment{Getenv: os.Getenv, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(int(ctl.Main(os.Args[1:], environment)))
}
