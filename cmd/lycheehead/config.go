package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/lycheehead/lycheehead/internal/sidecar"
	"github.com/lycheehead/lycheehead/pkg/operator"
	"github.com/lycheehead/lycheehead/platform"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a configuration for the operators' store and print all findings with their positions. The exit code is 3 if there are any."`
}

type configCheckCommand struct {
	File     string `arg:"" type:"existingfile" help:"Configuration file."`
	Against  string `type:"existingfile" help:"File with the version in force. The differences from it are printed; the exit code is 4 if there are any and no findings."`
	Settings string `type:"existingfile" help:"Settings file of a daemon. Customers' limits are checked against its bounds and data centres."`
}

// Run checks a configuration.
func (c *configCheckCommand) Run() error {
	draft, err := readConfig(c.File)
	if err != nil {
		return err
	}
	if c.Settings != "" {
		if err := setQuota(draft, c.Settings); err != nil {
			return err
		}
	}
	findings := draft.Check()
	printFindings(c.File, findings)
	errorCount := countErrors(findings)
	var differences []string
	// An entry that could not be decoded would look like a removed one.
	if c.Against != "" && errorCount == 0 {
		if differences, err = diffConfig(draft, c.Against); err != nil {
			return err
		}
	}
	if len(differences) > 0 {
		fmt.Println(strings.Join(differences, "\n"))
	}
	switch {
	case len(findings) > 0:
		return withCode(exitInvalid, "%s: %d errors, %d warnings", c.File, errorCount, len(findings)-errorCount)
	case len(differences) > 0:
		return withCode(exitNegative, "%d entries differ", len(differences))
	}
	fmt.Printf("version %d: %d routes, %d services, %d customers\n", draft.Version(),
		draft.RouteCount(), draft.ServiceCount(), draft.CustomerCount())
	return nil
}

func readConfig(path string) (*operator.Draft, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return platform.DecodeConfigFile(text), nil
}

// setQuota sets the bound of customers' limits and the number of data centres that a daemon with
// the settings in a file uses.
func setQuota(draft *operator.Draft, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := platform.ParseSettings(path, text)
	if err != nil {
		return withCode(exitInvalid, "settings: %w", err)
	}
	s, err := settings.Sidecar()
	if err != nil {
		return withCode(exitInvalid, "%w", err)
	}
	draft.SetQuota(sidecar.RateBound(s.GetBounds()), len(s.GetCentres()))
	return nil
}

// diffConfig returns the differences of a draft from the version in a file. The file may have
// warnings, since its version is in force already.
func diffConfig(draft *operator.Draft, path string) ([]string, error) {
	from, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	findings := from.Check()
	if n := countErrors(findings); n > 0 {
		printFindings(path, findings)
		return nil, withCode(exitInvalid, "%s: %d errors", path, n)
	}
	return draft.Diff(from), nil
}

func countErrors(findings []operator.Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity() == operator.Error {
			n++
		}
	}
	return n
}

func printFindings(path string, findings []operator.Finding) {
	for _, f := range findings {
		fmt.Printf("%s:%s\n", path, f)
	}
}
