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
	// peerDialTimeout bounds opening a connection to another daemon. A machine that
	// has failed does not refuse connections, so this timeout detects it.
	peerDialTimeout = 250 * time.Millisecond
	// controlTimeout bounds the exchange of a control message and its answer, which
	// may contain a whole configuration.
	controlTimeout = 1500 * time.Millisecond
	// pingTimeout bounds a ping, which is an empty control message.
	pingTimeout = 250 * time.Millisecond
	// maxIdlePeerConnections is the maximum number of idle connections to each of a
	// daemon's two ports.
	maxIdlePeerConnections = 16
	// controlPath is the request path of control messages.
	controlPath = "/exchange"
)

var errRejected = eris.New("control message rejected")

// peerClients holds the HTTP clients for the other daemons, by IP address. All
// daemons use the same ports.
type peerClients struct {
	inboundPort, controlPort uint16
	// budget bounds the memory for the bodies of responses.
	budget *http1.Budget
	// link records the bodies of the answers to control messages.
	link           *linkPacer
	requestClients *table.Table[string, *http1.Client]
	controlClients *table.Table[string, *http1.Client]
}

func newPeerClients(inbound, control uint16, budget *http1.Budget) *peerClients {
	return &peerClients{
		inboundPort:    inbound,
		controlPort:    control,
		budget:         budget,
		requestClients: table.New[string, *http1.Client](lock.Peers),
		controlClients: table.New[string, *http1.Client](lock.Peers),
	}
}

// client returns the client for forwarding requests to a daemon.
func (p *peerClients) client(ip string) *http1.Client {
	return p.clientFor(p.requestClients, ip, p.inboundPort)
}

func (p *peerClients) clientFor(t *table.Table[string, *http1.Client], ip string, port uint16) *http1.Client {
	var c *http1.Client
	t.Update(ip, func(old *http1.Client, ok bool) (*http1.Client, bool) {
		if !ok {
			old = http1.NewClient(net.JoinHostPort(ip, strconv.Itoa(int(port))), peerDialTimeout, maxIdlePeerConnections).WithBudget(p.budget)
		}
		c = old
		return old, true
	})
	return c
}

// exchange sends a control message and returns the answer.
func (p *peerClients) exchange(ctx context.Context, ip string, timeout time.Duration, m *schema.Exchange) (*schema.Exchange, error) {
	data, err := encodeControl(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := http1.NewRequest(http.MethodPost, controlPath, ip, http.Header{})
	req.SetBody(data, nil, int64(len(data)))
	c := p.clientFor(p.controlClients, ip, p.controlPort)
	resp, err := c.Do(ctx, req)
	if err == nil {
		defer resp.Release()
	}
	if err != nil {
		// The other connections to the daemon may have stalled as well.
		c.CloseIdle()
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if resp.Status() != http.StatusOK {
		return nil, fmt.Errorf("exchange with %s: status %d: %w", ip, resp.Status(), errRejected)
	}
	p.link.record(len(resp.Body()))
	return decodeControl(resp.Body())
}

// ping returns an error if a daemon does not answer a control message.
func (p *peerClients) ping(ctx context.Context, ip string) error {
	_, err := p.exchange(ctx, ip, pingTimeout, &schema.Exchange{})
	return err
}

// sweep closes connections that have been idle for long, and removes the
// clients for addresses that are not in keep.
func (p *peerClients) sweep(now time.Time, keep map[string]bool) {
	for _, t := range []*table.Table[string, *http1.Client]{p.requestClients, p.controlClients} {
		var kept, unused []*http1.Client
		t.Sweep(func(ip string, c *http1.Client) bool {
			if keep[ip] {
				kept = append(kept, c)
				return true
			}
			unused = append(unused, c)
			return false
		})
		for _, c := range kept {
			c.CloseExpired(now)
		}
		for _, c := range unused {
			c.CloseIdle()
		}
	}
}

// dials returns the number of connections opened to other daemons.
func (p *peerClients) dials() int {
	n := 0
	count := func(_ string, c *http1.Client) { n += c.Dials() }
	p.requestClients.Each(count)
	p.controlClients.Each(count)
	return n
}
