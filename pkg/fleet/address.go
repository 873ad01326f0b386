package fleet

import "strconv"

// Address is the IP address and port on which a backend server listens. Addresses can
// be compared with ==.
type Address struct {
	host string
	port uint16
}

// NewAddress returns the address of a port on a host, given by its IP address in text
// form. The text is not validated.
func NewAddress(host string, port uint16) Address { return Address{host: host, port: port} }

// Host returns the IP address.
func (a Address) Host() string { return a.host }

// Port returns the port number.
func (a Address) Port() uint16 { return a.port }

// String returns the address as host:port. It puts no brackets around an IPv6 address.
func (a Address) String() string { return a.host + ":" + strconv.Itoa(int(a.port)) }
