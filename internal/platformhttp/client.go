package platformhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/internal/wirecheck"
)

// Keys and header fields of the platform.
const (
	// ManifestKey is the key of the newest manifest, which lists the parts of a
	// configuration version.
	ManifestKey = "lycheehead/head"
	// PartPrefix is the prefix of the keys of parts. The rest of the key is the
	// SHA-256 digest of the part in hexadecimal.
	PartPrefix = "lycheehead/part/"
	// RevisionHeader holds the revision of a value or of the list of instances, a
	// decimal number.
	RevisionHeader = "Platform-Revision"
)

const (
	// clientName identifies the client to go-zero.
	clientName = "platform"
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 4 << 20
	// readTimeout is the timeout of a request. For a watch it is added to the time
	// that the platform may wait.
	readTimeout = 2 * time.Second
)

var (
	// ErrNotModified means that a watch ended without a higher revision. What was
	// read before is still current.
	ErrNotModified = eris.New("not modified")
	// ErrNotFound means that the platform has no such value.
	ErrNotFound = eris.New("value not found")
	// ErrTooManyRequests means that the platform refused the request because its
	// rate limit was exceeded.
	ErrTooManyRequests = eris.New("too many requests to the platform")
	// ErrUnexpectedStatus means that the platform returned any other HTTP status.
	ErrUnexpectedStatus = eris.New("unexpected HTTP status")
	// ErrTooLong means that a response exceeds maxResponseBytes.
	ErrTooLong = eris.New("response too long")
)

// Client reads from a platform with one or more addresses. Use New to create one. It is
// safe for concurrent use.
type Client struct {
	addresses []string
	service   httpc.Service
	// addressIndex, modulo the number of addresses, selects the address to use. It
	// is incremented after a request that failed or returned an unexpected status.
	addressIndex atomic.Uint32
	calls        atomic.Int64
	bytes        atomic.Int64
}

// New returns a client of a platform. addresses are hosts and ports, at least one.
func New(addresses []string) *Client {
	// The caller limits the rate of requests, not the library's circuit breaker.
	breaker.NoBreakerFor(clientName)
	transport := wirecheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})
	client := &http.Client{Transport: transport}
	return &Client{addresses: addresses, service: httpc.NewServiceWithClient(clientName, client)}
}

// Calls returns the number of requests made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes returns the number of bytes of response bodies read so far.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Value is the body of a response with its revision.
type Value struct {
	data     []byte
	revision uint64
}

// Data returns the body. The caller must not modify it.
func (v Value) Data() []byte { return v.data }

// Revision returns the platform's revision of the value.
func (v Value) Revision() uint64 { return v.revision }

// Read reads the current value of a key. It returns ErrNotFound if there is none.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, 0, 0)
}

// Watch reads the value of a key once its revision exceeds after. It waits at most for the
// given time, truncated to whole seconds, and then returns ErrNotModified. If wait is not
// positive, it does the same as Read.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, after, wait)
}

// Instances reads the list of instances. If wait is positive, it watches the list as Watch
// does with a value.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (*schema.Instances, error) {
	v, err := c.get(ctx, "/v1/instances", after, wait)
	if err != nil {
		return nil, err
	}
	list := &schema.Instances{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(v.data, list); err != nil {
		return nil, fmt.Errorf("decode instance list: %w", err)
	}
	return list, nil
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if wait > 0 {
		query := url.Values{}
		query.Set("after", strconv.FormatUint(after, 10))
		query.Set("wait", strconv.Itoa(int(wait.Seconds())))
		path += "?" + query.Encode()
	}
	address := c.addresses[int(c.addressIndex.Load())%len(c.addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Value{}, fmt.Errorf("build request: %w", err)
	}
	c.calls.Add(1)
	resp, err := c.service.DoRequest(req)
	if err != nil {
		c.addressIndex.Add(1)
		return Value{}, fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.decodeValue(resp)
}

func (c *Client) decodeValue(resp *http.Response) (Value, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	c.bytes.Add(int64(len(data)))
	switch {
	case err != nil:
		return Value{}, fmt.Errorf("read response: %w", err)
	case len(data) > maxResponseBytes:
		return Value{}, fmt.Errorf("read response of more than %d bytes: %w", maxResponseBytes, ErrTooLong)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrNotModified
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	case http.StatusTooManyRequests:
		return Value{}, ErrTooManyRequests
	default:
		c.addressIndex.Add(1)
		return Value{}, fmt.Errorf("status %d: %w", resp.StatusCode, ErrUnexpectedStatus)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("parse revision: %w", err)
	}
	return Value{data: data, revision: revision}, nil
}
