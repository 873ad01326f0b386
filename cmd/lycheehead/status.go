package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/adminhttp"
	"github.com/lycheehead/lycheehead/internal/schema"
)

type statusCommand struct {
	Address string `arg:"" help:"Admin address of the daemon, IP and port, from listen.admin in its settings."`
	JSON    bool   `help:"Print JSON."`
}

// Run prints the status of a daemon.
func (c *statusCommand) Run() error {
	s, err := adminhttp.FetchStatus(context.Background(), c.Address)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if c.JSON {
		fmt.Println(protojson.MarshalOptions{UseProtoNames: true}.Format(s))
		return nil
	}
	printStatus(s)
	return nil
}

func printStatus(s *schema.Status) {
	fmt.Printf("%s (%s in %s): %s, version %d %s\n", s.GetName(), s.GetService(), s.GetCentre(), s.GetState(),
		s.GetVersion(), shortenDigest(s.GetDigest()))
	confirmed := "never"
	if s.HasConfirmed() {
		confirmed = s.GetConfirmed().AsDuration().String() + " ago"
	}
	fmt.Printf("confirmed by the platform: %s; reader: %t; daemons known: %d\n", confirmed, s.GetReader(), s.GetMembers())
	fmt.Printf("gate: %d running, %d waiting, window %d\n", s.GetRunning(), s.GetWaiting(), s.GetWindow())
	t := s.GetTraffic()
	fmt.Printf("control bytes: %d in, %d out, %d from the platform in %d calls\n", t.GetControlIn(), t.GetControlOut(),
		t.GetPlatformIn(), t.GetPlatformCalls())
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, v := range s.GetCentres() {
		_, _ = fmt.Fprintf(w, "data centre\t%s\t%s\n", v.GetName(), serviceState(v.GetOut()))
	}
	for _, v := range s.GetBackends() {
		_, _ = fmt.Fprintf(w, "backend server\t%s\t%s\t%s\t%s\n", v.GetName(), v.GetService(), v.GetCentre(), v.GetReason())
	}
	for _, v := range s.GetLimits() {
		_, _ = fmt.Fprintf(w, "limit\t%s\t%g/s\tburst %d\t%d of %d allotments here\n", v.GetCustomer(), v.GetRate(), v.GetBurst(),
			v.GetHeld(), v.GetAllotments())
	}
	_ = w.Flush()
	for _, text := range s.GetRefused() {
		fmt.Printf("refused version: %s\n", strings.ReplaceAll(text, "\n", "; "))
	}
	if names := s.GetAwaited(); len(names) > 0 {
		fmt.Printf("raised limits wait for: %s\n", strings.Join(names, ", "))
	}
}

// shortDigestLength is the number of hex digits that are printed of a digest.
const shortDigestLength = 12

func shortenDigest(digest string) string { return digest[:min(shortDigestLength, len(digest))] }

func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
