// Block: the loopback addresses of one rehearsal. This file owns which address is whose. Each rehearsal has a block of its own,
// so that an endpoint which dies and comes back finds its address free, and two rehearsals on a machine never meet.
package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const basePort = 8080

// block is 127.B.0.0/16 for one B, held by a listener at its first address.
type addrBlock struct {
	octet    int
	listener net.Listener
}

func claimBlock() (*addrBlock, error) {
	for n := range 120 {
		octet := 2 + (os.Getpid()+n*7)%250
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, basePort))
		if err == nil {
			return &addrBlock{octet, ln}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

// at is the address of number n in a row; rows hold up to 25,000.
func (b *addrBlock) addr(row, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.octet, 1+row, 1+n%250, basePort+n/250)
}

// Rows of addresses. From rowClass on there is one for each class of sidecars that share links to endpoints.
const (
	rowSidecar = iota
	rowClient  // links before sidecars
	rowConsole
	rowSecondConsole // of the second process of an upgrade
	rowConsoleLink
	rowList
	rowListLink
	rowListMoved // where a new configuration finds the list service
	rowEndpoint
	rowFirstClass
	maxRow = 250
)
