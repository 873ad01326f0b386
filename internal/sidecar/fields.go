package sidecar

import (
	"net/http"
	"strings"
)

// connectionFields are the header fields that apply to one connection or are set anew for
// each, and are not forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropConnectionFields deletes connectionFields and the fields that the Connection field
// lists.
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

// copyFields copies the header fields of a response except those dropped by
// dropConnectionFields, which it also deletes from the source.
func copyFields(to, from http.Header) {
	dropConnectionFields(from)
	for name, values := range from {
		to[name] = values
	}
}
