package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheehead/lycheehead/internal/http1"
	"github.com/lycheehead/lycheehead/internal/schema"
	"github.com/lycheehead/lycheehead/pkg/lock"
	"github.com/lycheehead/lycheehead/pkg/table"
)

const (
	// dialPeer bounds opening a connection to another machine: a dead one does
	// not answer at all.
	dialPeer = 250 * time.Millisecond
	// controlTimeout bounds a control message, with a configuration in it.
	controlTimeout = 1500 * time.Millisecond
	// pingTimeout bounds a question whether a daemon is there.
	pingTimeout = 250 * time.Millisecond
	// peerConnections is how many idle connections are kept to each daemon.
	peerConnections = 16
	// controlPath is the target of control messages.
	controlPath = "/exchange"
)

var errControl = eris.New("control message was refused")

// peers are the connections to other daemons, by machine. All daemons use the
// same ports.
type peers struct {
	inbound, control uint16
	work             *table.Table[string, *http1.Client]
	words            *table.Table[string, *http1.Client]
}

func newPeers(inbound, control uint16) *peers {
	return &peers{
		inbound: inbound,
		control: control,
		work:    table.New[string, *http1.Client](lock.Peers),
		words:   table.New[string, *http1.Client](lock.Peers),
	}
}

// client returns the client for requests to a machine's daemon.
func (p *peers) client(ip string) *http1.Client {
	return client(p.work, ip, p.inbound)
}

func client(t *table.Table[string, *http1.Client], ip string, port uint16) *http1.Client {
	var c *http1.Client
	t.Update(ip, func(old *http1.Client, ok bool) (*http1.Client, bool) {
		if !ok {
			old = http1.NewClient(net.JoinHostPort(ip, strconv.Itoa(int(port))), dialPeer, peerConnections)
		}
		c = old
		return old, true
	})
	return c
}

// exchange sends a control message and returns the answer.
func (p *peers) exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error) {
	data, err := encodeControl(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := http1.NewRequest(http.MethodPost, controlPath, ip, http.Header{})
	req.SetBody(data, nil, int64(len(data)))
	c := client(p.words, ip, p.control)
	resp, err := c.Do(ctx, req)
	if err != nil {
		// The other connections may be as silent.
		c.CloseIdle()
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if resp.Status() != http.StatusOK {
		return nil, fmt.Errorf("exchange with %s: status %d: %w", ip, resp.Status(), errControl)
	}
	return decodeControl(resp.Body())
}

// ping asks whether a machine's daemon is there.
func (p *peers) ping(ctx context.Context, ip string) error {
	_, err := p.exchange(ctx, ip, pingTimeout, &schema.Exchange{})
	return err
}

// sweep closes connections that were idle for long, and forgets machines that
// are not in use, as keep tells.
func (p *peers) sweep(now time.Time, keep map[string]bool) {
	for _, t := range []*table.Table[string, *http1.Client]{p.work, p.words} {
		var all, unused []*http1.Client
		t.Sweep(func(ip string, c *http1.Client) bool {
			if keep[ip] {
				all = append(all, c)
				return true
			}
			unused = append(unused, c)
			return false
		})
		for _, c := range all {
			c.CloseExpired(now)
		}
		for _, c := range unused {
			c.CloseIdle()
		}
	}
}

// dials returns how many connections to other daemons were opened.
func (p *peers) dials() int {
	n := 0
	count := func(_ string, c *http1.Client) { n += c.Dials() }
	p.work.Each(count)
	p.words.Each(count)
	return n
}
