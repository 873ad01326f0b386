package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/platformhttp"
)

var (
	errRefused = eris.New("stand-in platform refused the request")
	errStopped = eris.New("stopped by a signal")
)

const stampFileMode = 0o644

type publishCommand struct {
	To        string `required:"" help:"Address of the stand-in platform."`
	Release   string `help:"Directory with a signed bundle."`
	Instances string `help:"JSON file with an instance list."`
	Stamp     string `help:"File to which the version and the current time in nanoseconds are appended before the bundle's manifest is published."`
	Mode      string `help:"Mode to set on the platform: ok, away, slow, stale or older."`
}

// Run sets the mode, publishes the instance list and publishes the signed bundle, each if
// it is given.
func (c *publishCommand) Run(stop stopSignals) error {
	// The command serves nobody, so that signals may end it at once.
	signal.Reset()
	if len(stop) > 0 {
		return errStopped
	}
	if c.Mode != "" {
		if err := c.put("mode?mode="+c.Mode, nil); err != nil {
			return err
		}
	}
	if c.Instances != "" {
		data, err := os.ReadFile(c.Instances)
		if err != nil {
			return fmt.Errorf("publish: %w", err)
		}
		if err := c.put("instances", data); err != nil {
			return err
		}
	}
	if c.Release != "" {
		return c.publishRelease()
	}
	return nil
}

// publishRelease publishes the parts of a bundle before the manifest, which refers to them.
func (c *publishCommand) publishRelease() error {
	paths, err := filepath.Glob(filepath.Join(c.Release, "part-*"))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	for _, path := range paths {
		digest := strings.TrimPrefix(filepath.Base(path), "part-")
		if err := c.putFile(path, platformhttp.PartPrefix+digest); err != nil {
			return err
		}
	}
	manifestPath := filepath.Join(c.Release, "head")
	if err := c.appendStamp(manifestPath); err != nil {
		return err
	}
	return c.putFile(manifestPath, platformhttp.ManifestKey)
}

// appendStamp appends the version number of a manifest and the current time to the stamp file.
func (c *publishCommand) appendStamp(manifestPath string) error {
	if c.Stamp == "" {
		return nil
	}
	data, err := os.ReadFile(manifestPath)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	m, err := bundle.DecodeManifest(data)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	f, err := os.OpenFile(c.Stamp, os.O_WRONLY|os.O_CREATE|os.O_APPEND, stampFileMode)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	defer func() { _ = f.Close() }()
	_, err = fmt.Fprintln(f, m.Version().Number(), time.Now().UnixNano())
	return err
}

func (c *publishCommand) putFile(path, key string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return c.put("values/"+key, data)
}

func (c *publishCommand) put(path string, data []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+c.To+"/admin/"+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("publish %s: %w: %s", path, errRefused, resp.Status)
	}
	return nil
}
