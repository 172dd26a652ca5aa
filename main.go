// Command tarragonspur serves generations of unknown length from a shared pool of model engines.
package main

import (
	"os"

	"github.com/tarragonspur/tarragonspur/internal/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
