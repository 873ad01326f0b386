// Package wirecheck checks the responses that an HTTP/1 client reads from a connection, on their
// way to the client's parser. The parser of net/http accepts messages that are not valid
// responses, and takes any end of a connection for the end of a body that the connection
// delimits. All clients of this repository read through this package, so that such a message
// fails with the error of a broken connection and none of it is forwarded.
package wirecheck
