package settings_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lycheehead/lycheehead/internal/settings"
)

// TestSettings parses settings files and prints the effective values of settings
// with defaults.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := settings.Parse("daemon.yaml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%s: settle %s, stop %s, %g calls, level %s\n", s.GetName(),
			settings.SettleTimeout(s), settings.ShutdownTimeout(s), settings.PlatformCallRate(s), settings.LogLevel(s))
	})
}
