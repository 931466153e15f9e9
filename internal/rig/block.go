// Block: the loopback addresses of one rehearsal. This file owns which address is whose. Each rehearsal has a block of its own,
// so that an endpoint which dies and comes back finds its address free, and two rehearsals on a machine never meet.
package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const port = 8080

// block is 127.B.0.0/16 for one B, held by a listener at its first address.
type block struct {
	net    int
	holder net.Listener
}

func claim() (*block, error) {
	for n := range 120 {
		b := 2 + (os.Getpid()+n*7)%250
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", b, port))
		if err == nil {
			return &block{b, ln}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

// at is the address of number n in a row; rows hold up to 25,000.
func (b *block) at(row, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.net, 1+row, 1+n%250, port+n/250)
}

// Rows of addresses. From rowClass on there is one for each class of sidecars that share links to endpoints.
const (
	rowSidecar = iota
	rowClient  // links before sidecars
	rowConsole
	rowConsole2 // of the second process of an upgrade
	rowConsoleLink
	rowList
	rowListLink
	rowListMoved // where a new configuration finds the list service
	rowEndpoint
	rowClass
	rowsMost = 250
)
