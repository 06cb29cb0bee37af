// Command pearyard-bench-limit measures fairness and accuracy of limits in
// virtual time and prints them as text; with -json as JSON.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pearyard/pearyard/limit/limitbench"
)

const defaultSeeds = 5

func main() {
	seeds := flag.Int("seeds", defaultSeeds, "number of seeds")
	asJSON := flag.Bool("json", false, "print every run as JSON")
	flag.Parse()
	result := limitbench.Run(max(1, *seeds))
	if !*asJSON {
		result.Text(os.Stdout)
		return
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
