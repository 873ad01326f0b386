package sidecar

import (
	"net/http"
	"strings"
)

// connectionFields are the hop-by-hop header fields, which are not forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropConnectionFields deletes the hop-by-hop header fields, including those that the
// Connection field names.
func dropConnectionFields(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
}

// copyFields copies the end-to-end header fields of a response.
func copyFields(to, from http.Header) {
	dropConnectionFields(from)
	for name, values := range from {
		to[name] = values
	}
}
