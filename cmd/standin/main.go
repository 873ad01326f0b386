// Command standin runs simple stand-ins for the systems around the mesh. It is a test
// tool and not part of the product.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lycheehead/lycheehead/internal/logs"
)

// outputTimeout bounds the time for writing out the last lines.
const outputTimeout = 100 * time.Millisecond

// commands defines the subcommands. Its fields are exported because kong sets them.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the configuration service."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for a backend server."`
	Publish  publishCommand  `cmd:"" help:"Publish a signed bundle or an instance list on the stand-in platform, or set its mode."`
}

func main() {
	stop := notifyStop()
	// The libraries' log must not wait for a reader.
	out := logs.NewWriter(os.Stderr)
	log.SetOutput(out)
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	if err := ctx.Run(stop); err != nil {
		_, _ = fmt.Fprintln(out, "standin:", err)
		out.Close(outputTimeout)
		os.Exit(1)
	}
}

// stopSignals receives SIGTERM and SIGINT.
type stopSignals chan os.Signal

// notifyStop begins to receive the signals to stop. It ignores SIGHUP, and SIGPIPE, with which
// a write ends the process once nobody reads its output.
func notifyStop() stopSignals {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	s := make(stopSignals, 1)
	signal.Notify(s, syscall.SIGTERM, syscall.SIGINT)
	return s
}
