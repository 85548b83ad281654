// Package cli implements the commands of the cyclamenyard binary and their flags.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the binary.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command ran and failed
	ExitUsage    = 2 // a flag, setting or argument is invalid; nothing was done
	ExitConflict = 3 // manifest apply: another commit was made since the expected revision
)

const Version = "0.1.0"

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{code: ExitUsage, err: err} }

// output holds the streams that a command writes to. Each command embeds it.
type output struct {
	out io.Writer
	err io.Writer
}

// Main runs the command given by args and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	parser := newParser(output{out: out, err: errOut})
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

func exitCode(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(out, flagErr.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, "cyclamenyard:", flagErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, "cyclamenyard:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func newParser(o output) *flags.Parser {
	parser := flags.NewNamedParser("cyclamenyard", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "scheduler for multi-accelerator jobs under workspace guarantees"
	parser.LongDescription = `Examples:
  cyclamenyard demo
  cyclamenyard manifest check examples/verband.yaml
  cyclamenyard standin --manifest examples/verband.yaml --listen 127.0.0.1:7000 --instance i1,bayern-nord,127.0.0.1:8081,127.0.0.1:8080,127.0.0.1:8082
  cyclamenyard serve --id i1 --data-centre bayern-nord --platform 127.0.0.1:7000
  cyclamenyard manifest apply examples/verband.yaml --admin 127.0.0.1:8082
  cyclamenyard status --admin 127.0.0.1:8082
  cyclamenyard explain --admin 127.0.0.1:8082 winterdienst/job-17

Exit codes: 0 success, 1 the command failed, 2 bad settings or arguments, 3 a commit lost a race.`
	add := func(p *flags.Command, name, short, long string, data any) *flags.Command {
		c, err := p.AddCommand(name, short, long, data)
		if err != nil {
			panic(fmt.Sprintf("command %s: %v", name, err)) // only if the struct tags of this package are invalid
		}
		return c
	}
	root := parser.Command
	add(root, "serve", "run an entry instance", "Runs an entry instance until SIGTERM or SIGINT; a second signal stops it at once.", &serveCommand{output: o})
	add(root, "platform", "run an instance on the users' platform", "Runs an instance that schedules jobs over the platform's store, until SIGTERM; SIGHUP reads the settings again.", &platformCommand{output: o})
	add(root, "demo", "run a whole system on loopback and check it", "Runs stand-ins, three instances and a fleet in one process, takes a data centre out and back, and checks the outcome.", &demoCommand{output: o})
	add(root, "standin", "run stand-ins of the platform and of workers", "Runs an in-memory platform and the workers of a manifest's fleet, for trying out separate processes.", &standinCommand{output: o})
	m := add(root, "manifest", "check, apply and show the manifest", "Checks, applies and shows the operators' manifest.", &struct{}{})
	add(m, "check", "check a manifest file", "Checks a manifest on its own and against the fleet that it states.", &manifestCheckCommand{output: o})
	add(m, "apply", "commit a manifest file", "Commits a manifest by compare-and-swap on the revision in force.", &manifestApplyCommand{output: o})
	add(m, "show", "show the manifest in force", "Shows the manifest in force at an instance.", &manifestShowCommand{output: o})
	add(root, "status", "show what is in force and who owns what", "Shows what is in force at an instance, its peers, owners, guarantees and jobs.", &statusCommand{output: o})
	add(root, "explain", "show why a request or job is where it is", "Shows the decision records of a request or job, by workspace/id.", &explainCommand{output: o})
	b := add(root, "bench", "measure policies", "Measurements that need no other process.", &struct{}{})
	add(b, "policy", "measure the placement policies over virtual time", "Drives the placement policies with the users' workloads over virtual time.", &benchPolicyCommand{output: o})
	add(root, "version", "print the version", "Prints the version.", &versionCommand{output: o})
	return parser
}

type versionCommand struct{ output }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, "cyclamenyard", Version)
	return err
}
