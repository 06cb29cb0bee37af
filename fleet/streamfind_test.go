package fleet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/streamversion"
	"github.com/pearyard/pearyard/types"
)

// findSite is a VM that knows v1 as the only version, and what happens while it finds out which
// version began a stream.
type findSite struct {
	v        *StreamVersions
	peers    []string
	position types.Position
}

var foundKey = streamversion.Key{Service: directory.Hash("s"), Stream: 7}

// list puts a list of servers of some versions in force.
func (f *findSite) list(versions ...string) {
	f.position++
	var list []directory.Listing
	for _, v := range versions {
		list = append(list, directory.Listing{ID: "on-" + v, Service: "s", Address: "10.1.0.1:1", Zone: "a", Slots: 1, Version: v})
	}
	f.v.opts.Directory.Apply(f.position, list, false, time.Now())
}

// answer has a peer answer the query.
func (f *findSite) answer(a versionAnswer) {
	f.v.receiveAnswer("10.0.0.2:1", header{}, appendStreamAnswer(nil, foundKey, a), time.Now())
}

// A caller comes back with a record that this VM doesn't have, and goes on at the version that
// this VM took for the only one.
func TestStreamWithoutARecordIsOfTheOnlyVersionByEvidenceOnly(t *testing.T) {
	isOn := func(v string) func(*findSite) error {
		return func(f *findSite) error { f.list("v1", v); return nil }
	}
	unread := func(*findSite) error { return io.ErrUnexpectedEOF }
	same := func(*findSite) error { return nil }
	inferred := func(v string) func(*findSite) {
		return func(f *findSite) { f.answer(versionAnswer{version: v, inferred: true}) }
	}
	for name, c := range map[string]struct {
		peers         []string
		unregistered  bool // the registry of VMs has not been read
		second        bool // a second version is known at first
		asked         func(*findSite)
		read          func(*findSite) error
		version, want string
	}{
		"the list read now names one version":                        {peers: []string{"10.0.0.2:1"}, read: same, version: "v1", want: foundSole},
		"the list read now names a second one, nobody answers":       {peers: []string{"10.0.0.2:1"}, read: isOn("v2"), want: foundNowhere},
		"the list read now names a second one, a peer has no record": {peers: []string{"10.0.0.2:1"}, read: isOn("v2"), asked: inferred("v1"), version: "v1", want: foundBefore},
		"the list can't be read, nobody answers":                     {peers: []string{"10.0.0.2:1"}, read: unread, want: foundNowhere},
		"the list can't be read, a peer has no record":               {peers: []string{"10.0.0.2:1"}, read: unread, asked: inferred("v1"), version: "v1", want: foundSole},
		"the list can't be read, a peer knows another version":       {peers: []string{"10.0.0.2:1"}, read: unread, asked: inferred("v2"), want: foundNowhere},
		"a peer has the record": {peers: []string{"10.0.0.2:1"}, read: same, version: "v2", want: foundByPeer, asked: func(f *findSite) {
			f.answer(versionAnswer{version: "v2", known: true})
		}},
		"the record was on its way": {peers: []string{"10.0.0.2:1"}, read: same, version: "v2", want: foundHere, asked: func(f *findSite) {
			f.v.table.Put(streamversion.Record{Key: foundKey, Version: "v2", Until: time.Now().Add(time.Minute)}, time.Now())
		}},
		"a second version is known, nobody answers":       {peers: []string{"10.0.0.2:1"}, second: true, read: same, want: foundNowhere},
		"a second version is known, a peer has no record": {peers: []string{"10.0.0.2:1"}, second: true, read: same, asked: inferred("v1"), version: "v1", want: foundBefore},
		"a second version is known, the peers are not":    {unregistered: true, second: true, read: same, want: foundNowhere},
		"a second version is known, there are no peers":   {second: true, read: same, version: "v1", want: foundBefore},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &findSite{peers: c.peers}
				socket := NewSocket("10.0.0.1:1", nil, nil)
				socket.write = func([]byte, string) bool {
					if c.asked != nil {
						go c.asked(f)
					}
					return true
				}
				known := make(chan struct{})
				if !c.unregistered {
					close(known)
				}
				f.v = NewStreamVersions(StreamVersionsOptions{
					Address: "10.0.0.1:1", Socket: socket, Peers: func() []string { return f.peers }, Directory: directory.New(), Recorder: event.Discard(), Known: known,
					ReadList: func(context.Context) error { return c.read(f) },
				})
				f.list("v1")
				f.v.setComplete(time.Now())
				if c.second {
					f.list("v1", "v2")
				}
				version, how := f.v.find(t.Context(), foundKey, time.Minute)
				g := gomega.NewWithT(t)
				g.Expect(how).To(gomega.Equal(c.want))
				g.Expect(version).To(gomega.Equal(c.version))
			})
		})
	}
}
