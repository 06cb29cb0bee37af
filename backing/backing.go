package backing

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable: the service did not accept the call; nothing took effect.
	ErrUnavailable = errors.New("backing: service unavailable")
	// ErrAmbiguous: the response was lost; the write may have taken effect.
	// Resolve it by reading the rows back.
	ErrAmbiguous = errors.New("backing: outcome of the write unknown")
	// ErrNotFound: there is no such row, object or artefact.
	ErrNotFound = errors.New("backing: not found")
	// ErrThrottled: the call exceeded the service's rate limit; nothing took effect.
	ErrThrottled = errors.New("backing: rate limit exceeded")
)

// ConflictError reports the keys whose conditions did not hold; nothing was written.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("backing: condition failed on %s", strings.Join(e.Keys, ", "))
}

// Row is one row of the table service. Version grows with every write of the row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition holds if the row has exactly this version; version 0 means absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write puts or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: all its writes take effect if all its conditions hold,
// otherwise none does.
type Txn struct {
	If     []Condition
	Writes []Write
}

// Table is the transactional table service.
// Get returns ErrNotFound for an absent row. List returns up to limit rows whose keys
// have the prefix, ordered by key. Commit returns *ConflictError, ErrThrottled,
// ErrUnavailable or ErrAmbiguous.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store. Objects are immutable: Put of another value under an
// existing key returns *ConflictError.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// VM is one entry of the platform's VM list.
type VM struct {
	ID      string `json:"id"`      // a VM that replaces another at the same address has a new ID
	Address string `json:"address"` // IP address, or IP:port in tests
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. The list may be stale.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Weights is the rate-limited weight store. Available reports whether a model
// or adapter version can be fetched from it.
type Weights interface {
	Available(ctx context.Context, artefact, version string) (bool, error)
}
