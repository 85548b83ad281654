// Command cyclamenyard runs an entry instance of the scheduler, its demo and the
// operators' commands.
package main

import (
	"os"

	"github.com/cyclamenyard/cyclamenyard/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
