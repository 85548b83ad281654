package cli

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/demo"
	"github.com/cyclamenyard/cyclamenyard/examples"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// demoCommand runs the demo.
type demoCommand struct {
	output
	Manifest string `long:"manifest" env:"CYCLAMENYARD_DEMO_MANIFEST" description:"manifest to run with; default: the Verband's example"`
	Log      bool   `long:"log" description:"write the instances' logs to standard error"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	m, err := c.manifest()
	if err != nil {
		return err
	}
	log := zap.NewNop()
	if c.Log {
		var closeLog func()
		log, closeLog = newLogger(os.Stderr, zapcore.InfoLevel)
		defer closeLog()
	}
	return demo.Run(demo.Options{Manifest: m, Out: c.out, Log: log})
}

func (c *demoCommand) manifest() (structs.Manifest, error) {
	if c.Manifest == "" {
		return manifest.Parse(examples.Verband)
	}
	_, m, _, err := fileArg{File: c.Manifest}.read()
	return m, err
}
