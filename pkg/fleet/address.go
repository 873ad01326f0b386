package fleet

import "strconv"

// Address is where a backend server listens.
type Address struct {
	host string
	port uint16
}

// NewAddress returns the address of a port on a host. The host is an IP address.
func NewAddress(host string, port uint16) Address { return Address{host: host, port: port} }

// Host returns the IP address.
func (a Address) Host() string { return a.host }

// Port returns the port number.
func (a Address) Port() uint16 { return a.port }

// String returns the address as host:port.
func (a Address) String() string { return a.host + ":" + strconv.Itoa(int(a.port)) }
