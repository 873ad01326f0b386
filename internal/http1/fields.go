package http1

import (
	"net/http"
	"strings"
)

// connectionFields are the header fields that concern one connection, or that the sender of a
// message sets anew for each.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
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
	for _, name := range connectionFields {
		delete(h, name)
	}
}
