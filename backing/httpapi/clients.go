package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

var (
	_ backing.Table   = (*Table)(nil)
	_ backing.Objects = (*Objects)(nil)
	_ backing.VMList  = (*VMList)(nil)
	_ backing.Weights = (*Weights)(nil)
)

// Table is a backing.Table over HTTP.
type Table struct{ caller *caller }

// NewTable returns a client of the table service.
func NewTable(opts Options) *Table { return &Table{newCaller(opts)} }

// Get implements backing.Table.
func (t *Table) Get(ctx context.Context, key string) (backing.Row, error) {
	var row backing.Row
	raw, err := t.caller.get(ctx, PathRow, url.Values{QueryKey: {key}})
	if err != nil {
		return row, err
	}
	err = decode(raw, &row)
	return row, err
}

// List implements backing.Table.
func (t *Table) List(ctx context.Context, prefix string, limit int) ([]backing.Row, error) {
	raw, err := t.caller.get(ctx, PathRows, url.Values{QueryPrefix: {prefix}, QueryLimit: {strconv.Itoa(limit)}})
	if err != nil {
		return nil, err
	}
	var rows []backing.Row
	err = decode(raw, &rows)
	return rows, err
}

// Commit implements backing.Table.
func (t *Table) Commit(ctx context.Context, txn backing.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.WithStack(err)
	}
	return t.caller.write(ctx, http.MethodPost, PathCommit, body)
}

// Objects is a backing.Objects over HTTP.
type Objects struct{ caller *caller }

// NewObjects returns a client of the object store.
func NewObjects(opts Options) *Objects { return &Objects{newCaller(opts)} }

// Get implements backing.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.caller.get(ctx, PathObject, url.Values{QueryKey: {key}})
}

// Put implements backing.Objects. Putting the same value again succeeds, so a
// caller resolves ErrAmbiguous by a second Put.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	return o.caller.write(ctx, http.MethodPut, PathObject+"?"+url.Values{QueryKey: {key}}.Encode(), value)
}

// VMList is a backing.VMList over HTTP.
type VMList struct{ caller *caller }

// NewVMList returns a client of the platform's VM list.
func NewVMList(opts Options) *VMList { return &VMList{newCaller(opts)} }

// List implements backing.VMList.
func (l *VMList) List(ctx context.Context) ([]backing.VM, error) {
	raw, err := l.caller.get(ctx, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	var vms []backing.VM
	err = decode(raw, &vms)
	return vms, err
}

// Weights is a backing.Weights over HTTP.
type Weights struct{ caller *caller }

// NewWeights returns a client of the weight store.
func NewWeights(opts Options) *Weights { return &Weights{newCaller(opts)} }

// Available implements backing.Weights.
func (w *Weights) Available(ctx context.Context, artefact, version string) (bool, error) {
	raw, err := w.caller.get(ctx, PathWeights, url.Values{QueryArtefact: {artefact}, QueryVersion: {version}})
	if err != nil {
		return false, err
	}
	var answer Availability
	err = decode(raw, &answer)
	return answer.Available, err
}
