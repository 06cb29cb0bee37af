package directory

// CellSize is the largest number of processes that share a cell. Processes of a cell
// exchange their load and prefer the cell's servers. With a single cell the traffic would
// grow with the square of the number of processes: 300 processes had 1.8 MB/s each.
const CellSize = 32

// Cells returns the number of cells for that many processes.
func Cells(processes int) int { return max(1, (processes+CellSize-1)/CellSize) }

// CellOf returns the cell of a process or server by its name.
func CellOf(name string, cells int) int { return int(Hash(name)) % cells }

// SetCells sets the number of cells and this process's own cell. Processes may disagree
// on the number for a while; until they agree, the load of some servers is only partly
// known.
func (d *Directory) SetCells(own, cells int) {
	d.cell.Store(int32(own))
	d.cells.Store(int32(cells))
}

// serversInOwnCell returns the servers of this process's cell, or all if there are too
// few to divide.
func (d *Directory) serversInOwnCell(list []*Server) []*Server {
	cells := int(d.cells.Load())
	if cells <= 1 || len(list) < cells*minServersPerCell {
		return list
	}
	own := make([]*Server, 0, len(list)/cells+1)
	for _, s := range list {
		if int(s.idHash)%cells == int(d.cell.Load()) {
			own = append(own, s)
		}
	}
	return own
}

// minServersPerCell is the smallest average number of servers per cell at which processes
// prefer the servers of their cell.
const minServersPerCell = 32
