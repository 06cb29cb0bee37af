package fleet

import (
	"cmp"
	"slices"

	"github.com/pearyard/pearyard/directory"
)

// setPeers sets the peers, with duplicates and the own address removed, and from them the
// cell and the partition of this process in the directory.
func (f *Fleet) setPeers(addresses []string) {
	seen := map[string]bool{f.opts.Address: true}
	peers := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if a != "" && !seen[a] {
			seen[a] = true
			peers = append(peers, a)
		}
	}
	slices.Sort(peers)
	f.peers.Store(&peers)
	cells := directory.Cells(len(peers) + 1)
	own := directory.CellOf(f.opts.Address, cells)
	f.opts.Directory.SetCells(own, cells)
	cellPeers := peers
	if cells > 1 {
		cellPeers = slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return directory.CellOf(p, cells) != own })
	}
	f.cellPeers.Store(&cellPeers)
	others := representatives(peers, own, cells)
	f.otherCells.Store(&others)
	index, _ := slices.BinarySearch(cellPeers, f.opts.Address)
	f.opts.Directory.SetPartition(index, len(cellPeers)+1)
}

// Peers returns the addresses of the other entry VMs.
func (f *Fleet) Peers() []string { return *f.peers.Load() }

// CellPeers returns the addresses of the other entry VMs in the cell of this process, with
// which it exchanges load (see directory.CellSize).
func (f *Fleet) CellPeers() []string { return *f.cellPeers.Load() }

// Known returns a channel that is closed once the registry has been read.
func (f *Fleet) Known() <-chan struct{} { return f.known }

// OtherCells returns the addresses of a few entry VMs of each other cell.
func (f *Fleet) OtherCells() [][]string { return *f.otherCells.Load() }

// representativesPerCell is how many VMs of a cell are asked about its servers. They are few,
// so that few VMs query all servers of the cell.
const representativesPerCell = 4

// representatives returns the first VMs of each cell but one, by the hash of their
// addresses.
func representatives(peers []string, own, cells int) [][]string {
	byCell := make([][]string, cells)
	for _, p := range peers {
		if cell := directory.CellOf(p, cells); cell != own {
			byCell[cell] = append(byCell[cell], p)
		}
	}
	var others [][]string
	for _, cell := range byCell {
		slices.SortFunc(cell, func(a, b string) int { return cmp.Compare(directory.Hash(a), directory.Hash(b)) })
		if len(cell) > 0 {
			others = append(others, cell[:min(len(cell), representativesPerCell)])
		}
	}
	return others
}

// unknownSize is used as the number of entry VMs until it is known: larger than any site.
const unknownSize = 1 << 20

// Size returns the number of entry VMs, including this one; unknownSize until the registry
// has been read.
//
// Until then only the seeds are known, far fewer than there are VMs. Limits that all VMs
// share are divided by this number, so it must not be too small.
func (f *Fleet) Size() int {
	if size := f.size.Load(); size > 0 {
		return int(size)
	}
	return unknownSize
}
