package http1

import (
	"net/http"
	"strings"
)

// connectionFields are the header fields that concern one connection, or that the sender of a
// message sets anew for each.
var connectionFields = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// DropConnectionFields deletes the header fields that concern only the connection on which a
// message was received, among them those that its Connection field lists. A program that
// forwards messages calls it for each one that it reads, before it sets fields of its own: the
// sender could otherwise list these.
func DropConnectionFields(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range connectionFields {
		delete(h, name)
	}
}
