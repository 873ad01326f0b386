// Command standin runs small stand-ins for the systems around the mesh. It is a
// test tool, not part of the product.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands is filled by the command line library, which needs exported fields.
type commands struct {
	Platform platformCommand `cmd:"" help:"Stand in for the configuration service."`
	Backend  backendCommand  `cmd:"" help:"Stand in for a backend server."`
	Publish  publishCommand  `cmd:"" help:"Publish a signed bundle, or an instance list, on the stand-in platform."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// waitForStop returns once the process is asked to stop.
func waitForStop() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
}
