package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/bundle"
	"github.com/lycheehead/lycheehead/internal/platformhttp"
)

var errRefused = eris.New("platform refused")

const stampMode = 0o644

type publishCommand struct {
	To        string `required:"" help:"The stand-in platform's address."`
	Release   string `help:"Folder of a signed bundle."`
	Instances string `help:"File with an instance list in JSON."`
	Stamp     string `help:"File to which the version and the instant are appended before its head is published."`
	Mode      string `help:"How the platform answers from now on: ok, away, slow, stale or older."`
}

// Run publishes parts before the head that names them.
func (c *publishCommand) Run() error {
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
		return c.release()
	}
	return nil
}

func (c *publishCommand) release() error {
	paths, err := filepath.Glob(filepath.Join(c.Release, "part-*"))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	for _, path := range paths {
		digest := strings.TrimPrefix(filepath.Base(path), "part-")
		if err := c.file(path, platformhttp.PartPrefix+digest); err != nil {
			return err
		}
	}
	head := filepath.Join(c.Release, "head")
	if err := c.stamp(head); err != nil {
		return err
	}
	return c.file(head, platformhttp.ManifestKey)
}

// stamp notes when a version is published.
func (c *publishCommand) stamp(head string) error {
	if c.Stamp == "" {
		return nil
	}
	data, err := os.ReadFile(head)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	m, err := bundle.DecodeManifest(data)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	f, err := os.OpenFile(c.Stamp, os.O_WRONLY|os.O_CREATE|os.O_APPEND, stampMode)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	defer func() { _ = f.Close() }()
	_, err = fmt.Fprintln(f, m.Version().Number(), time.Now().UnixNano())
	return err
}

func (c *publishCommand) file(path, key string) error {
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
