// Package bandwidth divides the rate of a machine's link. It is used by the daemon on that
// machine, which asks the other daemons for the bodies of requests.
//
// A Link decides when the body of a request may be requested from the daemon that holds it, and
// which requests are refused because their bodies would arrive too late. It uses the order of
// caller.Need, as all components that decide under shortage do.
//
// Link is safe for concurrent use. The package reads no clock and sends no messages: callers
// pass in the current time.
package bandwidth
