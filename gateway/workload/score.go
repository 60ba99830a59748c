package workload

// Load is what a gateway knows of the work of a server.
type Load struct {
	// Streams is the number of the gateway's own requests at the server, Left the work that is left of them.
	Streams int
	Left    Amount
	// Pace is the factor by which the server is slower than expected, 0 or 1 if it is not.
	Pace  float64
	Slots int
}

// Score rates a server for a request with the given work by the work that it has in its next passes: its streams, each
// of which generates in every pass, and the prompts that it has yet to read. The server with the lowest score should get
// the request. The generation left has no weight: a stream lengthens each pass by the same time however much of it is
// left, and in docs/design/expected-work.md no weight of it served callers better.
func (l Load) Score(w, usual Amount) float64 {
	reading := float64(l.Left.Reading+w.Reading) / float64(max(usual.Reading, 1))
	return (1 + float64(l.Streams) + readingWeight*reading) * max(l.Pace, 1) / float64(max(l.Slots, 1))
}

const (
	// readingWeight is the weight of an unread prompt of mean size relative to that of a stream.
	readingWeight = 1.0
	// orderWeight is the difference between the scores of the first and the last server in a gateway's own order, about
	// one stream at a server of 10 slots. Larger weights put a second stream on a server before the last one has any.
	orderWeight = 0.1
)

// OrderTerm is the term of a score for the place of a server in a gateway's own order of the servers. The position of
// the server and the start of the order are fractions of the list of servers. Gateways with evenly spread starts fill
// different servers first, so that their sums are about even although none knows the streams of the others.
func OrderTerm(position, start float64) float64 {
	place := position - start
	if place < 0 {
		place++
	}
	return orderWeight * place
}
