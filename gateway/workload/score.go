package workload

import "time"

// Load is what a gateway knows of the work of a server.
type Load struct {
	// Streams is the number of the gateway's own requests at the server, Unread the time to read the prompts of those that
	// have had no event yet.
	Streams int
	Unread  time.Duration
	// Pace is the factor by which the server is slower than expected, 0 or 1 if it is not.
	Pace  float64
	Slots int
	// Place is the server's place in the gateway's own order of the servers, from 0 for the first to 1; see Place.
	Place float64
}

// Score rates a server for a request by the work that it would have in its next passes: its streams, each of which
// generates in every pass, and the prompts that it has yet to read. reading is the time to read the prompt of the request,
// usual that for a prompt of mean size. The server with the lowest score should get the request. The generation left has
// no weight: a stream lengthens each pass by the same time however much of it is left, and in
// docs/design/expected-work.md no weight of it served callers better.
func (l Load) Score(reading, usual time.Duration) float64 {
	unread := float64(l.Unread+reading) / float64(max(usual, 1))
	streams := 1 + float64(l.Streams) + readingWeight*unread + orderWeight*l.Place
	return streams * max(l.Pace, 1) / float64(max(l.Slots, 1))
}

const (
	// readingWeight is the weight of an unread prompt of mean size relative to that of a stream.
	readingWeight = 1.0
	// orderWeight is the difference between the first and the last server of the order, in streams. A larger weight puts
	// a second stream on the first servers before the last ones have any.
	orderWeight = 1.0
)

// Place returns the place of a server in a gateway's own order of the servers. The position of the server and the start
// of the order are fractions of the list of servers. Gateways with evenly spread starts fill different servers first, so
// that their sums are about even although none knows the streams of the others.
func Place(position, start float64) float64 {
	if place := position - start; place >= 0 {
		return place
	}
	return position - start + 1
}
