// Package peerquic carries messages between daemons over QUIC.
//
// One stream holds one request and its answer, so answers cannot be crossed. A
// message is a length and a protobuf message; the body of a call follows its
// message and ends with the stream. A stream that is reset never looks like one
// that ended, so a cut body never looks whole. Both sides prove their slot's
// name with a certificate of the mesh's authority.
package peerquic
