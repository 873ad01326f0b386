// Package load drives daemons as callers do and checks what it was told.
//
// Requests are due at random instants of a fixed seed whether earlier ones have
// been answered or not. Afterwards the tool asks the stand-in backend servers
// what they ran: the check sees both ends and takes no daemon's word.
package load
