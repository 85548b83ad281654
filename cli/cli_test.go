package cli

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cyclamenyard": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against invalid settings that go unreported, exit codes that differ from the documented
// ones, and errors that do not name the field, the value and the rule.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(e *testscript.Env) error {
		for _, name := range []string{"verband.yaml", "brazos.yaml"} {
			text, err := os.ReadFile("../examples/" + name)
			if err != nil {
				return err
			}
			if err := os.WriteFile(e.Cd+"/"+name, text, 0o600); err != nil {
				return err
			}
		}
		return nil
	}})
}
