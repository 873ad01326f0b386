// Package peerquic carries messages between daemons over QUIC.
//
// Each stream carries one request and its answer, so an answer cannot be matched to
// the wrong request. Messages are length-delimited protobuf. The body of a call
// follows its message and extends to the end of the stream. As QUIC distinguishes a
// reset stream from a finished one, a truncated body is never taken for a complete
// one. Both sides authenticate as a slot with a certificate issued by the mesh's
// certificate authority.
package peerquic
