package main

import (
	"fmt"
	"os"

	"github.com/lycheehead/lycheehead/internal/authority"
)

type meshCommand struct {
	Authority authorityCommand `cmd:"" help:"Create the mesh's certificate authority."`
	Issue     issueCommand     `cmd:"" help:"Issue the certificate of a backend server's daemon."`
}

type authorityCommand struct {
	Out string `short:"o" required:"" help:"Path of the files to write, without .crt and .key."`
}

// Run creates a certificate authority.
func (c *authorityCommand) Run() error {
	pair, err := authority.New()
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	return writeKeyPair(c.Out, pair)
}

type issueCommand struct {
	Name      string `arg:"" help:"Name of the backend server in bundles."`
	Authority string `short:"a" required:"" help:"Path of the authority's files, without .crt and .key."`
	Out       string `short:"o" required:"" help:"Path of the files to write, without .crt and .key."`
}

// Run issues the certificate of a daemon.
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
	return writeKeyPair(c.Out, pair)
}

func writeKeyPair(path string, p authority.KeyPair) error {
	if err := writeNew(path+".key", string(p.Key()), keyMode); err != nil {
		return err
	}
	return writeNew(path+".crt", string(p.Certificate()), fileMode)
}
