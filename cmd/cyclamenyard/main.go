// Command cyclamenyard runs the scheduler's instances, its demo and the operators' commands.
package main

import (
	"os"

	"github.com/cyclamenyard/cyclamenyard/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
