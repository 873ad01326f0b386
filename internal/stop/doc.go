// Package stop has what the planned stops of both kinds of daemons share: the times until which
// a stopping process answers requests, and the refusal of requests whose body is still arriving
// then.
package stop
