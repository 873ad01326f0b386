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
)

// The platform's names.
const (
	// ManifestKey is the key of the newest manifest.
	ManifestKey = "lycheehead/head"
	// PartPrefix is the prefix of the keys of parts; the digest in hex follows.
	PartPrefix = "lycheehead/part/"
	// RevisionHeader has the revision of an answer.
	RevisionHeader = "Platform-Revision"
)

const (
	service = "platform"
	// valueMost is the largest answer in bytes.
	valueMost = 4 << 20
	// readTimeout bounds a read that does not watch.
	readTimeout = 2 * time.Second
)

var (
	// ErrNotModified says that a watch ended without a higher revision.
	ErrNotModified = eris.New("unchanged")
	// ErrNotFound says that the platform has no such value.
	ErrNotFound = eris.New("no such value")
	// ErrTooManyRequests says that the platform counts too many calls.
	ErrTooManyRequests = eris.New("platform is busy")
	// ErrUnexpectedStatus says that the platform answered otherwise than agreed.
	ErrUnexpectedStatus = eris.New("unexpected answer")
)

// Client reads one platform at one or several addresses. Make one with New.
type Client struct {
	addresses []string
	service   httpc.Service
	next      atomic.Uint32
	calls     atomic.Int64
	bytes     atomic.Int64
}

// New returns the client of a platform.
func New(addresses []string) *Client {
	// How often the platform is asked is the allowance's decision.
	breaker.NoBreakerFor(service)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	return &Client{addresses: addresses, service: httpc.NewServiceWithClient(service, client)}
}

// Calls returns how many calls were made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes returns how many bytes of answers were read.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Value is an answer with its revision.
type Value struct {
	data     []byte
	revision uint64
}

// Data returns the bytes.
func (v Value) Data() []byte { return v.data }

// Revision returns the platform's revision of the value.
func (v Value) Revision() uint64 { return v.revision }

// Read reads a value.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, 0, 0)
}

// Watch reads a value once its revision is above after; it waits no longer
// than wait, to whole seconds.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return c.get(ctx, "/v1/values/"+key, after, wait)
}

// Instances reads or watches the instance list.
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
	address := c.addresses[int(c.next.Load())%len(c.addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Value{}, fmt.Errorf("build request: %w", err)
	}
	c.calls.Add(1)
	resp, err := c.service.DoRequest(req)
	if err != nil {
		c.next.Add(1)
		return Value{}, fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(resp)
}

func (c *Client) read(resp *http.Response) (Value, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, valueMost))
	c.bytes.Add(int64(len(data)))
	if err != nil {
		return Value{}, fmt.Errorf("read answer: %w", err)
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
		c.next.Add(1)
		return Value{}, fmt.Errorf("status %d: %w", resp.StatusCode, ErrUnexpectedStatus)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("read revision: %w", err)
	}
	return Value{data: data, revision: revision}, nil
}
