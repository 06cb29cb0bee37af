// Command crasher plays a site of two entry nodes and three model runners in one zone on
// loopback. A client sends a request that crashes each runner that begins to run it, again and
// again with a pause between. It exits with 1 if rule BUDGET is broken, 0 if it held, 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pearyard/pearyard/review/second/standin/lab"
)

const (
	pause    = 12 * time.Second // between two attempts of the request
	attempts = 5
	firstAt  = 11 * time.Second // the traffic before it
	down     = 3 * time.Second  // of a runner after a crash
	interval = 250 * time.Millisecond
	deadline = 25 * time.Second
	contact  = 3 * time.Second // contactMs
	bound    = 3               // retries that the rule allows
)

var nodeIPs = []string{"127.0.62.1", "127.0.62.2"}

const config = `{"version":3,"routes":[{"name":"draft","host":"lab.example","pathPrefix":"/draft/","routeType":"streaming","service":"pear-models","timeoutMs":25000,"targetLatencyMs":4500,"targetGapMs":700,"priority":1,"maxAttempts":5,"public":false,"streamResume":true,"sessionAffinity":true}],` +
	`"services":[{"name":"pear-models","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"inferenceEngine":{"slots":64,"kvCapacityTokens":88000,"kvTokenBytes":327680,"linkMbps":1100000.0,"stride":5,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"],"priority":1}]}`

func main() {
	zones := []string{"errol-shed", "errol-shed", "errol-shed"}
	mode := ""
	if len(os.Args) > 4 { // for comparison
		mode = os.Args[4]
	}
	switch mode {
	case "zones": // each runner in a zone of its own
		zones = []string{"errol-shed", "coupar-hall", "blair-depot"}
	case "event": // three runners in each of four zones, which send one event before they crash
		zones = nil
		for range 3 {
			zones = append(zones, "errol-shed", "coupar-hall", "blair-depot", "inch-office")
		}
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3] != "0", zones, mode == "event")
	if err != nil {
		fmt.Println("could not run:", err)
	}
	os.Exit(code)
}

func play(program, recordPath string, trouble bool, zones []string, eventFirst bool) (int, error) {
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
	store, err := lab.NewStore("127.0.62.100")
	if err != nil {
		return 2, err
	}
	store.Put("op", "config", []byte(config))
	for i, zone := range zones {
		engine, err := lab.NewEngine(store, record, "127.0.62.101", fmt.Sprintf("model%d", i), "pear-models", zone, down)
		if err != nil {
			return 2, err
		}
		engine.EventFirst = eventFirst
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
	served, sent := 0, 0
	var wg sync.WaitGroup
	nextAttempt := began.Add(firstAt)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for made, n := 0, 0; made < attempts || time.Now().Before(nextAttempt.Add(4*time.Second-pause)); n++ {
		<-tick.C
		node := nodes[n%len(nodes)].Frontend
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := client.Send(node, "POST", fmt.Sprintf("/draft/plan%d", n), []byte("a planting list"), deadline, "Model", "m", "Token-Usage", "400,100")
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.Status == 200 && a.Signature != "" {
				served++
			}
		}()
		if made < attempts && !time.Now().Before(nextAttempt) {
			path := lab.CrashPath
			if !trouble {
				path = "/draft/plan"
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				client.Send(nodes[made%len(nodes)].Frontend, "POST", path, []byte("crash"), deadline, "Model", "m", "Token-Usage", "400,100")
			}()
			made++
			nextAttempt = nextAttempt.Add(pause)
		}
	}
	wg.Wait()
	crashes, late := record.Crashes(contact)
	summary := fmt.Sprintf("the request crashed runners %d times; it reached runners %d times later than %v after the third crash; other requests served: %d of %d", crashes, late, contact, served, sent)
	record.Add(summary)
	fmt.Println(summary)
	if sent == 0 || (!trouble && served < sent) {
		return 2, fmt.Errorf("the site doesn't work without the case")
	}
	if late > bound {
		fmt.Println("BUDGET broken")
		return 1, nil
	}
	return 0, nil
}
