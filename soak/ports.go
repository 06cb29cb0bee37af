package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// firstPort and portBlocks bound the ports that VMs listen on. They lie below those
	// that the kernel gives to connections.
	firstPort  = 20_000
	portBlocks = 700
	// peerPorts is how many ports a VM may use among VMs.
	peerPorts = 10
	// blockSize is that and one port each for callers and the platform's questions.
	blockSize = peerPorts + 2
)

// portBlock is a range of ports that no other run on this machine uses. Each VM has an
// address of its own, so all VMs of a site share one.
type portBlock struct {
	first int
	lock  *os.File // freed by the kernel when this process and all that inherit it have ended
}

// takePorts takes a block that is free.
func takePorts() (*portBlock, error) {
	for i := range portBlocks {
		block, err := lockBlock(i)
		if err != nil {
			return nil, err
		}
		if block != nil {
			return block, nil
		}
	}
	return nil, errors.New("soak: all ports are taken by other runs")
}

// lockBlock returns nil if another run has the block.
func lockBlock(i int) (*portBlock, error) {
	name := filepath.Join(os.TempDir(), fmt.Sprintf("pearyard-soak-ports-%d.lock", i))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "soak: ports")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &portBlock{first: firstPort + i*blockSize, lock: file}, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrap(err, "soak: ports")
}

func (b *portBlock) peers() int   { return b.first }
func (b *portBlock) callers() int { return b.first + peerPorts }
func (b *portBlock) ready() int   { return b.first + peerPorts + 1 }

// free lets another run have the block.
func (b *portBlock) free() {
	if b != nil {
		_ = b.lock.Close()
	}
}
