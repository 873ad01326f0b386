// Command standin runs simple stand-ins for the systems around the mesh. It is a test
// tool and not part of the product.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands defines the subcommands. Its fields are exported because kong sets them.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the configuration service."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for a backend server."`
	Publish  publishCommand  `cmd:"" help:"Publish a signed bundle or an instance list on the stand-in platform, or set its mode."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// waitForSignal blocks until the process receives SIGTERM or SIGINT. It ignores SIGPIPE, with
// which a write ends the process once nobody reads its output.
func waitForSignal() {
	signal.Ignore(syscall.SIGPIPE)
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
}
