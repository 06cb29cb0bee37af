// Command refusedlink plays a site of two entry nodes and six runners on loopback. Both nodes are
// killed and start again, and a runner is cut off from them for the first seconds. It exits with 1
// if rule RECOVER is broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pearyard/pearyard/review/second/standin/lab"
)

const (
	killedAt = 8 * time.Second // the final fault
	backAt   = 9 * time.Second
	cutAt    = 8500 * time.Millisecond // of the runner
	cutFor   = 5 * time.Second
	judgedAt = backAt + 12*time.Second // recoveryS
	endAt    = 41 * time.Second
	deadline = 4 * time.Second
	interval = 100 * time.Millisecond // between two requests for labels at each node
	perStock = 10                     // as many of them come for each one for stock
)

var nodeIPs = []string{"127.0.61.1", "127.0.61.2"}

const config = `{"version":3,"routes":[` +
	`{"name":"stock","host":"lab.example","pathPrefix":"/stock/","routeType":"idempotent","service":"depot-apps","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":2,"public":false},` +
	`{"name":"labels","host":"lab.example","pathPrefix":"/labels/","routeType":"non_idempotent","service":"label-apps","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":1,"public":false}],` +
	`"services":[{"name":"depot-apps","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false},{"name":"label-apps","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}`

type count struct{ sent, served int }

func (c count) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }

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
	store.Put("op", "config", []byte(config))
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
	client := lab.NewClient(record, "lab.example", "k1")
	began := time.Now()
	var mu sync.Mutex
	var before, after, labels count
	var wg sync.WaitGroup
	send := func(n *lab.Node, prefix string) {
		defer wg.Done()
		at := time.Since(began)
		a := client.Send(n.Frontend, "GET", prefix+"1", nil, deadline)
		mu.Lock()
		defer mu.Unlock()
		for _, c := range []struct {
			counts bool
			to     *count
		}{{at < killedAt, &before}, {at >= judgedAt, &after}, {at >= judgedAt && prefix == "/labels/", &labels}} {
			if !c.counts {
				continue
			}
			c.to.sent++
			if a.Status == 200 && a.Signature != "" {
				c.to.served++
			}
		}
	}
	var failed error
	events := []struct {
		at time.Duration
		do func()
	}{
		{killedAt, func() {
			record.Add("both nodes are killed")
			for _, n := range nodes {
				n.Kill()
			}
		}},
		{cutAt, func() {
			if trouble && !version {
				record.Add("runner i-label0 is cut off from the nodes: connections are reset and refused")
				label.Link().Refuse()
			}
		}},
		{backAt, func() {
			record.Add("both nodes start again")
			for _, n := range nodes {
				if err := n.Start(program); err != nil {
					failed = err
				}
			}
		}},
		{backAt + 2*time.Second, func() {
			if !trouble || !version {
				return
			}
			for _, n := range nodes {
				client.Send(n.Frontend, "GET", "/labels/1", nil, deadline, "Expected-Version", "2")
			}
		}},
		{cutAt + cutFor, func() {
			if trouble && !version {
				failed = label.Link().Heal()
				record.Add("runner i-label0 is reached again")
			}
		}},
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; time.Since(began) < endAt && failed == nil; i++ {
		<-tick.C
		for len(events) > 0 && time.Since(began) >= events[0].at {
			events[0].do()
			events = events[1:]
		}
		for _, n := range nodes {
			wg.Add(1)
			go send(n, "/labels/")
			if i%perStock == 0 {
				wg.Add(1)
				go send(n, "/stock/")
			}
		}
	}
	wg.Wait()
	if failed != nil {
		return 2, failed
	}
	direct := client.Send(label.Address, "GET", "/labels/direct", nil, deadline)
	summary := fmt.Sprintf("served before the final fault %v; of those sent from %v to %v %v, labels alone %v; the runner asked directly answers %d", before, judgedAt, endAt, after, labels, direct.Status)
	record.Add(summary)
	fmt.Println(summary)
	if before.sent == 0 || after.sent == 0 || direct.Status != 200 || before.served*4 < before.sent {
		return 2, fmt.Errorf("the site doesn't work without the case")
	}
	if after.served*4 < after.sent {
		fmt.Println("RECOVER broken")
		return 1, nil
	}
	return 0, nil
}
