// Package peerquic carries messages between daemons over QUIC.
//
// Each stream carries one request and its answer, so an answer cannot be matched to
// the wrong request. Messages are length-delimited protobuf. A call is the request by
// which a daemon forwards a caller's request; all others are control messages. The body of
// a call follows its message and extends to the end of the stream. As QUIC distinguishes
// a reset stream from a finished one, a truncated body is never taken for a complete one.
//
// A daemon that stops first opens a unidirectional stream on each connection that it has
// accepted. The other daemon then opens no more streams and closes the connection once it has
// read the last response. So no request crosses the close of its connection.
//
// A slot is the permanent, named place of a daemon and its backend server. Both sides
// authenticate as a slot with a certificate issued by the mesh's certificate authority.
package peerquic
