// Loopback addresses of a run. Each run claims a block of addresses of its own, so that an endpoint that crashes and
// restarts finds its address free, and runs on the same machine do not interfere with each other.

package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// basePort is the port of the first 250 addresses in a row; each further 250 use the next port.
const basePort = 8080

// addrBlock is the network 127.N.0.0/16 for one N. It is claimed by a listener at its first address.
type addrBlock struct {
	octet    int // N
	listener net.Listener
}

// claimBlock finds a free block and claims it.
func claimBlock() (*addrBlock, error) {
	for n := range 120 {
		octet := 2 + (os.Getpid()+n*7)%250
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, basePort))
		if err == nil {
			return &addrBlock{octet, ln}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses (120 tried)")
}

// addr returns the address of number n in a row. A row has up to 25,000 addresses.
func (b *addrBlock) addr(row, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.octet, 1+row, 1+n%250, basePort+n/250)
}

// Rows of addresses. From rowFirstClass on there is one for each class of sidecars that share links to endpoints.
const (
	rowSidecar       = iota // sidecars
	rowClient               // links from clients to sidecars
	rowConsole              // consoles of the sidecars' processes
	rowSecondConsole        // consoles of the second processes during upgrades
	rowConsoleLink          // links to consoles
	rowList                 // discovery, one address for each sidecar
	rowListLink             // links from sidecars to discovery
	rowListMoved            // second address of discovery for each sidecar, used after a change of configuration
	rowEndpoint             // endpoints
	rowFirstClass           // links to endpoints
	maxRow           = 250  // the third byte of an address is its row plus 1
)
