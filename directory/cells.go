package directory

// CellSize is how many processes share a cell at most. Processes of a cell tell
// each other their load and choose among the cell's servers first. With one cell
// for all, what is told grows with the square of their number: at 300 it was
// 1.8 MB a second for each.
const CellSize = 32

// Cells returns into how many cells that many processes are divided.
func Cells(processes int) int { return max(1, (processes+CellSize-1)/CellSize) }

// CellOf returns the cell of a process or server by its name.
func CellOf(name string, cells int) int { return int(Hash(name)) % cells }

// SetCells says into how many cells the processes are divided, and which is
// this process's own. Views of their number may differ for a while; then some
// servers are told of less.
func (d *Directory) SetCells(own, cells int) {
	d.cell.Store(int32(own))
	d.cells.Store(int32(cells))
}

// ownCell returns the servers of this process's cell; all, if there are too few
// for cells.
func (d *Directory) ownCell(list []*Server) []*Server {
	cells := int(d.cells.Load())
	if cells <= 1 || len(list) < cells*minCellServers {
		return list
	}
	own := make([]*Server, 0, len(list)/cells+1)
	for _, s := range list {
		if int(s.place)%cells == int(d.cell.Load()) {
			own = append(own, s)
		}
	}
	return own
}

// minCellServers is how many servers a cell has in the mean at least.
const minCellServers = 32
