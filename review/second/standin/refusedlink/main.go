// Command refusedlink plays a site of two entry nodes and six runners on loopback. The runner of
// a service whose route came with a later configuration is cut off from the nodes for a while.
// It exits with 1 if rule CONFIG is broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pearyard/pearyard/review/second/standin/lab"
)

const (
	addedAt  = 4 * time.Second  // when the later configuration is written
	cutAt    = 9 * time.Second  // of the runner
	cutFor   = 5 * time.Second  // within the 5.5 s of the site file
	judgedAt = 24 * time.Second // ten seconds after the cut; contactMs is 3 s
	endAt    = 54 * time.Second
	interval = 100 * time.Millisecond // between two requests on each of the routes at each node
	deadline = 4 * time.Second
)

var nodeIPs = []string{"127.0.61.1", "127.0.61.2"}

func config(version int, added bool) []byte {
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"lab.example","pathPrefix":%q,"routeType":"idempotent","service":%q,"timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":2,"public":false}`, name, prefix, service)
	}
	routes := []string{route("stock", "/stock/", "depot-apps")}
	if added {
		routes = append(routes, route("labels", "/labels/", "label-apps"))
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}`, name)
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}`,
		version, strings.Join(routes, ","), service("depot-apps"), service("label-apps")))
}

type count struct{ sent, served int }

func main() {
	version := len(os.Args) > 4 && os.Args[4] == "version" // for comparison: see play
	code, err := play(os.Args[1], os.Args[2], os.Args[3] != "0", version)
	if err != nil {
		fmt.Println("could not run:", err)
	}
	os.Exit(code)
}

// play plays the case. With version set nothing is cut: instead one request to each node carries
// an Expected-Version that the runner doesn't have.
func play(program, recordPath string, trouble, version bool) (int, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	record, err := lab.NewRecord(recordPath)
	if err != nil {
		return 2, err
	}
	defer record.Close()
	store, err := lab.NewStore("127.0.61.100")
	if err != nil {
		return 2, err
	}
	store.Put("op", "config", config(3, false))
	for i := range 5 {
		if _, err := lab.NewRunner(store, record, "127.0.61.101", fmt.Sprintf("i-stock%d", i), "depot-apps", "errol-shed"); err != nil {
			return 2, err
		}
	}
	label, err := lab.NewRunner(store, record, "127.0.61.101", "i-label0", "label-apps", "errol-shed")
	if err != nil {
		return 2, err
	}
	ports, ok := lab.FreePorts(nodeIPs...)
	if !ok {
		return 2, fmt.Errorf("no free ports")
	}
	var nodes []*lab.Node
	for i, ip := range nodeIPs {
		n, err := lab.NewNode(dir, fmt.Sprintf("edge-errol-shed-%d", i+1), ip, "errol-shed", store.Address, ports, nodeIPs)
		if err != nil {
			return 2, err
		}
		if err := n.Start(program); err != nil {
			return 2, err
		}
		defer n.Kill()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.AwaitReady(10 * time.Second) {
			return 2, fmt.Errorf("%s isn't ready", n.Name)
		}
	}
	began := time.Now()
	var mu sync.Mutex
	counts := map[string]*count{"/stock/": {}, "/labels/": {}}
	var wg sync.WaitGroup
	client := lab.NewClient(record, "lab.example", "k1")
	send := func(n *lab.Node, prefix string) {
		defer wg.Done()
		at := time.Since(began)
		a := client.Send(n.Frontend, "GET", prefix+"1", nil, deadline)
		if at < judgedAt {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		counts[prefix].sent++
		if a.Status == 200 && a.Signature != "" {
			counts[prefix].served++
		}
	}
	events := []struct {
		at time.Duration
		do func()
	}{
		{addedAt, func() { record.Add("configuration 7 adds route /labels/"); store.Put("op", "config", config(7, true)) }},
		{cutAt, func() {
			switch {
			case trouble && version:
				for _, n := range nodes {
					client.Send(n.Frontend, "GET", "/labels/1", nil, deadline, "Expected-Version", "2")
				}
			case trouble:
				record.Add("runner i-label0 is cut off from the nodes: connections are refused")
				label.Link().Refuse()
			}
		}},
		{cutAt + cutFor, func() {
			if trouble && !version {
				if err := label.Link().Heal(); err != nil {
					record.Add("cut could not be ended:", err.Error())
					return
				}
				record.Add("runner i-label0 is reached again")
			}
		}},
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for time.Since(began) < endAt {
		<-tick.C
		for len(events) > 0 && time.Since(began) >= events[0].at {
			events[0].do()
			events = events[1:]
		}
		for _, n := range nodes {
			wg.Add(1)
			go send(n, "/stock/")
			if time.Since(began) >= addedAt+3*time.Second {
				wg.Add(1)
				go send(n, "/labels/")
			}
		}
	}
	wg.Wait()
	direct := client.Send(label.Address, "GET", "/labels/direct", nil, deadline)
	first, later := counts["/stock/"], counts["/labels/"]
	summary := fmt.Sprintf("from %v to %v: first route served %d of %d, later route served %d of %d; the runner asked directly answers %d", judgedAt, endAt, first.served, first.sent, later.served, later.sent, direct.Status)
	record.Add(summary)
	fmt.Println(summary)
	if first.sent == 0 || direct.Status != 200 || first.served*4 < first.sent*3 {
		return 2, fmt.Errorf("the site doesn't work without the case")
	}
	if later.sent >= 20 && 4*later.served*first.sent < first.served*later.sent {
		fmt.Println("CONFIG broken")
		return 1, nil
	}
	return 0, nil
}
