package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// firstPort is the first port of the first block, and portBlocks the number of blocks.
	// The ports (20,000 to 28,399) lie below the kernel's range of ephemeral ports, so that
	// no outgoing connection has one of them.
	firstPort  = 20_000
	portBlocks = 700
	// peerPorts is the size of a VM's port range for traffic between VMs.
	peerPorts = 10
	// blockSize is the number of ports of a block: those for peers, one for callers and
	// one for readiness checks of the platform.
	blockSize = peerPorts + 2
)

// portBlock is a range of ports that no other run on this machine uses. All VMs of a
// site share one block, since each has its own IP address.
type portBlock struct {
	first int
	lock  *os.File // the kernel releases it when this process and all that inherit it have ended
}

// acquirePorts locks and returns the first free block.
func acquirePorts() (*portBlock, error) {
	for i := range portBlocks {
		block, err := lockBlock(i)
		if err != nil {
			return nil, err
		}
		if block != nil {
			return block, nil
		}
	}
	return nil, errors.Errorf("soak: all %d port blocks are in use by other runs", portBlocks)
}

// lockBlock locks block i. It returns nil if another run holds it.
func lockBlock(i int) (*portBlock, error) {
	name := filepath.Join(os.TempDir(), fmt.Sprintf("pearyard-soak-ports-%d.lock", i))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "soak: open lock file of port block %d", i)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &portBlock{first: firstPort + i*blockSize, lock: file}, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrapf(err, "soak: lock port block %d (%s)", i, name)
}

func (b *portBlock) firstPeerPort() int { return b.first }
func (b *portBlock) callerPort() int    { return b.first + peerPorts }
func (b *portBlock) readyPort() int     { return b.first + peerPorts + 1 }

// release makes the block available to other runs.
func (b *portBlock) release() {
	if b != nil {
		_ = b.lock.Close()
	}
}
