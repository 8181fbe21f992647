package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"foldslip/config"
)

type configs struct {
	Check configCheck `cmd:"" help:"Tell whether a file of the operators' settings can be used; the gateway is not touched."`
	Show  configShow  `cmd:"" help:"Print what a file of the operators' settings comes to, as JSON, with all defaults."`
}

type configFile struct {
	File string `arg:"" help:"Jsonnet template, such as deploy/foldslip.jsonnet."`
	JSON bool   `help:"Print JSON, also of what is wrong."`
}

// read reads the settings; what is wrong with them is told on the output where JSON was asked for.
func (f configFile) read(to *streams) (*config.Settings, error) {
	s, err := config.Read(f.File, os.ReadFile)
	var fault config.Fault
	if errors.As(err, &fault) {
		if f.JSON {
			json.NewEncoder(to.out).Encode(map[string]any{"ok": false, "fault": fault})
		}
		return nil, usage("%v", fault)
	}
	return s, err
}

type configCheck struct{ configFile }

func (f *configCheck) Run(to *streams) error {
	if _, err := f.read(to); err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(map[string]any{"ok": true})
	}
	_, err := fmt.Fprintf(to.out, "%s can be used\n", f.File)
	return err
}

type configShow struct{ configFile }

func (f *configShow) Run(to *streams) error {
	s, err := f.read(to)
	if err != nil {
		return err
	}
	e := json.NewEncoder(to.out)
	e.SetIndent("", "  ")
	return e.Encode(s)
}
