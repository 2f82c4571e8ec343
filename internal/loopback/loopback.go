// Package loopback opens listeners on loopback addresses of their own, for tests.
package loopback

import (
	"math/rand/v2"
	"net"
)

// RandomIP returns a loopback address other than 127.0.0.1.
func RandomIP() net.IP {
	return net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
}

// Listen returns a TCP listener on a free port of a random loopback address. On 127.0.0.1, an outgoing connection of any process could take
// the port while the listener is closed, so that it could not be opened again.
func Listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(RandomIP().String(), "0"))
}
