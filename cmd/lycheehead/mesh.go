package main

import (
	"fmt"
	"os"

	"github.com/lycheehead/lycheehead/internal/authority"
)

type meshCommand struct {
	Authority authorityCommand `cmd:"" help:"Make the mesh's authority."`
	Issue     issueCommand     `cmd:"" help:"Issue the certificate of one slot."`
}

type authorityCommand struct {
	Out string `short:"o" required:"" help:"Name of the files: .crt and .key are added."`
}

// Run makes an authority.
func (c *authorityCommand) Run() error {
	pair, err := authority.New()
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	return writePair(c.Out, pair)
}

type issueCommand struct {
	Name      string `arg:"" help:"The slot's name, as bundles have it."`
	Authority string `short:"a" required:"" help:"Name of the authority's files, without .crt and .key."`
	Out       string `short:"o" required:"" help:"Name of the files: .crt and .key are added."`
}

// Run issues a certificate.
func (c *issueCommand) Run() error {
	certificate, err := os.ReadFile(c.Authority + ".crt")
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	key, err := os.ReadFile(c.Authority + ".key")
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	pair, err := authority.Issue(authority.NewKeyPair(certificate, key), c.Name)
	if err != nil {
		return withCode(exitInvalid, "issue certificate: %w", err)
	}
	return writePair(c.Out, pair)
}

func writePair(path string, p authority.KeyPair) error {
	if err := writeNew(path+".key", string(p.Key()), keyMode); err != nil {
		return err
	}
	return writeNew(path+".crt", string(p.Certificate()), fileMode)
}
