package peerquic

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// maxStatus is the highest status of a response.
const maxStatus = 599

// checkReply returns ErrInvalidMessage if a reply is not the head of a valid response: another
// daemon, perhaps of an earlier version, may have passed on a malformed one. A reply without a
// status stands for no response.
func checkReply(r *schema.Reply) error {
	if s := r.GetStatus(); s != 0 && (s < http.StatusOK || s > maxStatus) {
		return fmt.Errorf("%w: status %d", ErrInvalidMessage, s)
	}
	for _, f := range r.GetFields() {
		if !httpguts.ValidHeaderFieldName(f.GetName()) || !httpguts.ValidHeaderFieldValue(f.GetValue()) {
			return fmt.Errorf("%w: field %q", ErrInvalidMessage, f.GetName())
		}
	}
	return nil
}
