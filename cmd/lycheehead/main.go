// Command lycheehead distributes configuration across a service mesh. It runs the
// daemon beside a backend server and provides the commands for operators.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/lycheehead/lycheehead/internal/http1"
)

// Exit codes. Scripts rely on their values.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitInvalid is for invalid input, such as settings, bundles and plans.
	exitInvalid = 3
	// exitNegative is for commands that worked and whose answer is negative: two
	// bundles or configurations differ, or no log line mentions the request.
	exitNegative  = 4
	exitViolation = 5
)

// commands defines the command line. kong fills it by reflection and requires exported
// fields; command and flag names are derived from the names of the fields.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run the daemon of a backend server in a mesh that is configured with signed bundles."`
	Sidecar sidecarCommand `cmd:"" help:"Run the daemon of a backend server in a fleet that is configured through the operators' store. The environment variable LYCHEEHEAD_NODE_FILE holds the path of the settings file."`
	Bundle  bundleCommand  `cmd:"" help:"Check, sign and compare bundles, and create keys."`
	Config  configCommand  `cmd:"" help:"Check configurations for the operators' store."`
	Mesh    meshCommand    `cmd:"" help:"Create the certificates with which daemons authenticate each other."`
	Status  statusCommand  `cmd:"" help:"Print the status of a daemon that was started with run."`
	Load    loadCommand    `cmd:"" help:"Generate load and compare the outcomes reported to callers with the requests that the backend servers ran."`
	Emulate emulateCommand `cmd:"" help:"Simulate a plan of load and faults with the decision code of the daemons, without network or waiting."`
	Explain explainCommand `cmd:"" help:"Print the history of a request, given the logs of any number of daemons on standard input."`
}

// libraryStopDelay puts off the HTTP library's own reaction to a signal to stop until after
// any planned stop.
const libraryStopDelay = time.Hour

func main() {
	http1.DelaySignalShutdown(libraryStopDelay)
	received := notifySignals()
	// The HTTP library's own log might contain keys.
	logx.Disable()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("lycheehead"),
		kong.Description("Configuration distribution for a service mesh."),
		kong.UsageOnError(),
		kong.Exit(os.Exit),
	)
	if err != nil {
		fail(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "lycheehead:", err)
		os.Exit(exitUsage)
	}
	if runsDaemon(ctx) {
		ignoreBrokenPipes()
		stderr := splitStandardError()
		if err := ctx.Run(received, stderr); err != nil {
			failDaemon(stderr, err)
		}
		return
	}
	received.restoreDefaults()
	if err := ctx.Run(received); err != nil {
		fail(err)
	}
}

// runsDaemon reports whether a command runs until a signal to stop.
func runsDaemon(ctx *kong.Context) bool {
	switch ctx.Command() {
	case "run", "sidecar":
		return true
	}
	return false
}

// fail prints an error and exits with its exit code.
func fail(err error) {
	_, _ = fmt.Fprintln(os.Stderr, "lycheehead:", err)
	os.Exit(exitCode(err))
}
