// Package handover decides when a request that one daemon hands over to another may begin
// there, and until when the first daemon may give it up as not run.
//
// The daemon that accepted the request is the sender and has an Offer. The daemon beside the
// backend server is the receiver and has a Receipt. Either may be paused at any moment and go
// on later, and the end of their connection may arrive late or never, so neither infers
// anything from the time that has passed or from the other's silence. One rule connects them:
// what the receiver needs in order to begin is sent only after the sender has committed, and
// a sender that has withdrawn does not commit any more.
//
// The package knows no connections and no messages, and it reads no clock.
package handover
