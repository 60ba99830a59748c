// Command measure prints the figures of docs/measurements/configuration.md: the cost of distributing the configuration
// by fleet size, and the cost of processing one configuration at the target size.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
)

func main() {
	nodes := flag.String("nodes", "60,600,4000", "numbers of processes, separated by commas")
	changes := flag.Int("changes", 10, "changes committed for each number of processes")
	useLoopback := flag.Bool("loopback", false, "connect the processes through TCP on this machine and count all bytes")
	measureSize := flag.Bool("size", true, "also measure one configuration at the target size")
	flag.Parse()
	if *measureSize {
		measureState()
	}
	fmt.Println("| processes | start s | idle calls/s | watches | calls per change | sent B/s idle mean | max | " +
		"sent B/s busy mean | max | last process ms median | max | cores idle | cores busy | " +
		"outage calls/s | sent B/s mean | max | cores | calls in 1 s of return | last process s |")
	fmt.Println(strings.Repeat("| --- ", 19) + "|")
	for _, text := range strings.Split(*nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "-nodes: %q is not a positive number of processes\n", text)
			os.Exit(2)
		}
		fmt.Println(measureFleet(n, *changes, *useLoopback))
	}
}
