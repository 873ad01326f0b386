package peerquic

import "sync/atomic"

// counters counts the bytes of messages, separately for control messages and calls.
type counters struct {
	controlIn, controlOut atomic.Int64
	callIn, callOut       atomic.Int64
}

func (c *counters) add(isCall bool, in, out int) {
	if isCall {
		c.callIn.Add(int64(in))
		c.callOut.Add(int64(out))
		return
	}
	c.controlIn.Add(int64(in))
	c.controlOut.Add(int64(out))
}

// Traffic holds the numbers of bytes of the messages that a mesh has sent and received.
// Bodies and the overhead of QUIC are not included.
type Traffic struct {
	controlIn, controlOut, callIn, callOut int64
}

// ControlIn returns the number of bytes of control messages received.
func (t Traffic) ControlIn() int64 { return t.controlIn }

// ControlOut returns the number of bytes of control messages sent.
func (t Traffic) ControlOut() int64 { return t.controlOut }

// CallIn returns the number of bytes of call messages received.
func (t Traffic) CallIn() int64 { return t.callIn }

// CallOut returns the number of bytes of call messages sent.
func (t Traffic) CallOut() int64 { return t.callOut }
