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

// File modes. Only the operator may read private keys.
const (
	keyMode  = 0o600
	fileMode = 0o644
	dirMode  = 0o755
)

// Names of the files of a release. The digest of a part follows partFilePrefix.
const (
	manifestFile   = "head"
	partFilePrefix = "part-"
)

type bundleCommand struct {
	Key    keyCommand    `cmd:"" help:"Create a key pair for signing bundles."`
	Check  checkCommand  `cmd:"" help:"Check a bundle and report all faults with their positions."`
	Sign   signCommand   `cmd:"" help:"Sign a bundle and write the files to publish."`
	Diff   diffCommand   `cmd:"" help:"List the differences between two bundles. The exit code is 4 if there are any."`
	Digest digestCommand `cmd:"" help:"Print the digest of a customer's key, read from standard input."`
}

type keyCommand struct {
	Out string `short:"o" required:"" help:"File for the private key. The public key is written to the same path with .pub appended."`
}

// Run creates a key pair.
func (c *keyCommand) Run() error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	if err := writeNew(c.Out, hex.EncodeToString(private.Seed())+"\n", keyMode); err != nil {
		return err
	}
	return writeNew(c.Out+".pub", hex.EncodeToString(public)+"\n", fileMode)
}

// writeNew creates a file. It fails if the file exists, so that keys are never
// overwritten.
func writeNew(path, text string, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if _, err := f.WriteString(text); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Bundle file."`
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
	File string `arg:"" type:"existingfile" help:"Bundle file."`
	Key  string `short:"k" required:"" type:"existingfile" help:"Private key file."`
	Out  string `short:"o" required:"" help:"Directory for the files to publish. It is created if it does not exist."`
}

// Run signs a bundle and writes the release.
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

// writeRelease writes the parts first and the manifest last, which is the order in
// which they must be published.
func writeRelease(dir string, r bundle.Release) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	for i, p := range r.Manifest().Parts() {
		path := filepath.Join(dir, partFilePrefix+p.Digest().String())
		if err := os.WriteFile(path, r.Blobs()[i], fileMode); err != nil {
			return fmt.Errorf("write release: %w", err)
		}
	}
	manifest, err := bundle.EncodeManifest(r.Manifest())
	if err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, manifestFile), manifest, fileMode); err != nil {
		return fmt.Errorf("write release: %w", err)
	}
	return nil
}

type diffCommand struct {
	From string `arg:"" type:"existingfile" help:"Old bundle file."`
	To   string `arg:"" type:"existingfile" help:"New bundle file."`
}

// Run lists the differences between two bundles.
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
	return withCode(exitNegative, "%d entries differ", len(lines))
}

type digestCommand struct{}

// Run prints the digest of a customer's key. The key is read from standard input, since
// other users of the machine can see the arguments of a process.
func (c *digestCommand) Run() error {
	var key string
	if _, err := fmt.Scanln(&key); err != nil {
		return withCode(exitUsage, "read key from standard input: %w", err)
	}
	digest := sha256.Sum256([]byte(key))
	fmt.Println(hex.EncodeToString(digest[:]))
	return nil
}
