// Command lycheehead distributes configuration across a service mesh: it runs
// the daemon in a backend server's slot, and it is the operators' desk.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/core/logx"
)

// The exit codes that scripts can rely on.
const (
	exitFault   = 1
	exitUsage   = 2
	exitInvalid = 3
	exitDiffers = 4
	exitBroken  = 5
)

// commands is filled by the command line library, which needs exported fields.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run the daemon of one backend server's slot."`
	Sidecar sidecarCommand `cmd:"" help:"Run the daemon beside one backend server on the platform."`
	Bundle  bundleCommand  `cmd:"" help:"Write, check, sign off and compare bundles."`
	Mesh    meshCommand    `cmd:"" help:"Make the certificates by which daemons know each other."`
	Status  statusCommand  `cmd:"" help:"Ask a daemon what it holds and why."`
	Load    loadCommand    `cmd:"" help:"Drive requests as callers do and check both ends."`
	Emulate emulateCommand `cmd:"" help:"Play a plan of load and troubles against the daemons' decisions in simulated time."`
	Explain explainCommand `cmd:"" help:"Print the history of a request from the logs of any number of daemons on standard input."`
}

func main() {
	// The HTTP library's own log might hold keys.
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
	if err := ctx.Run(); err != nil {
		fail(err)
	}
}

// fail reports an error and ends the process with its exit code.
func fail(err error) {
	_, _ = fmt.Fprintln(os.Stderr, "lycheehead:", err)
	os.Exit(codeOf(err))
}
