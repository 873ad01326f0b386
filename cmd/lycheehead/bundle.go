package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/schema"
)

// Modes of files: keys are for the operator alone.
const (
	keyMode    = 0o600
	fileMode   = 0o644
	folderMode = 0o755
)

// headFile and partFile name the files that are published.
const (
	headFile = "head"
	partFile = "part-"
)

type bundleCommand struct {
	Key    keyCommand    `cmd:"" help:"Make a key pair to sign off with, or the digest of a customer's key."`
	Check  checkCommand  `cmd:"" help:"Check a bundle; every fault is reported with its place."`
	Sign   signCommand   `cmd:"" help:"Sign a bundle off and write the files to publish."`
	Diff   diffCommand   `cmd:"" help:"List what differs between two bundles; exit code 4 if anything does."`
	Digest digestCommand `cmd:"" help:"Print the digest of a customer's key, read from standard input."`
}

type keyCommand struct {
	Out string `short:"o" required:"" help:"File for the private key; the public key goes to the same name with .pub."`
}

// Run makes a key pair.
func (c *keyCommand) Run() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	if err := writeNew(c.Out, hex.EncodeToString(private.Seed())+"\n", keyMode); err != nil {
		return err
	}
	return writeNew(c.Out+".pub", hex.EncodeToString(public)+"\n", fileMode)
}

// writeNew writes a file that must not exist yet: a key is never overwritten.
func writeNew(path, text string, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if _, err := f.WriteString(text); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	return nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"The bundle."`
}

// Run checks a bundle.
func (c *checkCommand) Run() error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("version %d: %d data centres, %d backend servers, %d routes, %d customers\n", b.GetVersion(),
		len(b.GetCentres()), len(b.GetBackends()), len(b.GetRoutes()), len(b.GetCustomers()))
	return nil
}

func readBundle(path string) (*schema.Bundle, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundle.Parse(path, text)
	if err != nil {
		return nil, withCode(exitInvalid, "%w", err)
	}
	return b, nil
}

type signCommand struct {
	File string `arg:"" type:"existingfile" help:"The bundle."`
	Key  string `short:"k" required:"" type:"existingfile" help:"The private key."`
	Out  string `short:"o" required:"" help:"Folder for the files to publish; it is made where there is none."`
}

// Run signs a bundle off.
func (c *signCommand) Run() error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	key, err := bundle.ParsePrivateKey(string(text))
	if err != nil {
		return withCode(exitInvalid, "%s: %w", c.Key, err)
	}
	release, err := bundle.Sign(b, key)
	if err != nil {
		return withCode(exitInvalid, "%s: %w", c.File, err)
	}
	if err := writeRelease(c.Out, release); err != nil {
		return err
	}
	fmt.Printf("version %d signed: %s\n", b.GetVersion(), release.Manifest().Version().Digest())
	return nil
}

// writeRelease writes the parts first and the head last, in the order in which
// they are to be published.
func writeRelease(folder string, r bundle.Release) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	for i, p := range r.Manifest().Parts() {
		path := filepath.Join(folder, partFile+p.Digest().String())
		if err := os.WriteFile(path, r.Blobs()[i], fileMode); err != nil {
			return fmt.Errorf("write release: %w", err)
		}
	}
	head, err := bundle.EncodeManifest(r.Manifest())
	if err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, headFile), head, fileMode); err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	return nil
}

type diffCommand struct {
	From string `arg:"" type:"existingfile" help:"The bundle before."`
	To   string `arg:"" type:"existingfile" help:"The bundle after."`
}

// Run compares two bundles.
func (c *diffCommand) Run() error {
	from, err := readBundle(c.From)
	if err != nil {
		return err
	}
	to, err := readBundle(c.To)
	if err != nil {
		return err
	}
	lines := bundle.Diff(from, to)
	if len(lines) == 0 {
		return nil
	}
	fmt.Println(strings.Join(lines, "\n"))
	return withCode(exitDiffers, "%d entries differ", len(lines))
}

type digestCommand struct{}

// Run prints a key's digest. The key comes by standard input, since arguments
// are seen by others.
func (c *digestCommand) Run() error {
	var key string
	if _, err := fmt.Scanln(&key); err != nil {
		return withCode(exitUsage, "read key from standard input: %w", err)
	}
	digest := sha256.Sum256([]byte(key))
	fmt.Println(hex.EncodeToString(digest[:]))
	return nil
}
