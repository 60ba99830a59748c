package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"lavendermoor.example/api/peerapi"
)

const (
	// maxFrameBytes bounds one frame, because an endless line would exhaust the memory. The largest frames hold the
	// response of a plain service in base64.
	maxFrameBytes = 96 << 20
	// initialFrameBuffer, in bytes, is enough for the frames of tokens, which have about 200 bytes.
	initialFrameBuffer = 4 << 10
)

// frameReader reads the frames of one response. It returns the data of events in order and without gaps; it discards
// frames of other requests and duplicates, and fails at a gap.
type frameReader struct {
	lines  *bufio.Scanner
	id     string
	prefix []byte
	// nextSeq is the expected sequence number of the next data frame.
	nextSeq int64
	// lastEventID is the engine's ID of the last event, empty if it gave none.
	lastEventID string
	counters    *counters
}

func newFrameReader(r io.Reader, id string, nextSeq int64, c *counters) *frameReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialFrameBuffer), maxFrameBytes)
	quoted, _ := json.Marshal(id) // Marshaling a string cannot fail.
	prefix := append(append([]byte(`{"id":`), quoted...), `,"seq":`...)
	return &frameReader{lines: lines, id: id, prefix: prefix, nextSeq: nextSeq, counters: c}
}

// read returns the data of the next event, or the frame that ends the response. The data is valid until the next call.
// It fails with a *SequenceGapError, an *InvalidFrameError or an *IncompleteResponseError, after which it must not be
// called again.
func (f *frameReader) read() (data []byte, last *peerapi.Frame, err error) {
	for f.lines.Scan() {
		line := f.lines.Bytes()
		if seq, data, ok := f.parseDataFrame(line); ok {
			if expected, err := f.accept(seq, ""); expected || err != nil {
				return data, nil, err
			}
			continue
		}
		frame := new(peerapi.Frame)
		if err := json.Unmarshal(line, frame); err != nil {
			return nil, nil, &InvalidFrameError{Cause: err}
		}
		data, last, err := f.handleFrame(frame)
		if data != nil || last != nil || err != nil {
			return data, last, err
		}
	}
	cause := f.lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return nil, nil, &IncompleteResponseError{Cause: cause}
}

var dataField = []byte(`,"data":`)

// parseDataFrame decodes a data frame in the exact form that peerapi.Frame encodes to. It reports false for all other
// lines, which are decoded as JSON.
func (f *frameReader) parseDataFrame(line []byte) (seq int64, data []byte, ok bool) {
	rest, ok := bytes.CutPrefix(line, f.prefix)
	if !ok {
		return 0, nil, false
	}
	digits := bytes.IndexByte(rest, ',')
	if digits < 1 || !bytes.HasPrefix(rest[digits:], dataField) || rest[len(rest)-1] != '}' {
		return 0, nil, false
	}
	seq, err := strconv.ParseInt(string(rest[:digits]), 10, 64)
	data = rest[digits+len(dataField) : len(rest)-1]
	// The check for valid JSON fails if another field follows the data.
	return seq, data, err == nil && json.Valid(data)
}

// accept reports whether a data frame is the expected one. It discards frames already received.
func (f *frameReader) accept(seq int64, eventID string) (expected bool, err error) {
	switch {
	case seq == f.nextSeq:
		f.nextSeq++
		f.lastEventID = eventID
		return true, nil
	case seq < f.nextSeq:
		f.counters.late.Add(1)
		return false, nil
	}
	f.counters.gaps.Add(1)
	return false, &SequenceGapError{Expected: f.nextSeq, Received: seq}
}

func (f *frameReader) handleFrame(frame *peerapi.Frame) (data []byte, last *peerapi.Frame, err error) {
	switch {
	case frame.ID != f.id:
		f.counters.crossed.Add(1)
		return nil, nil, nil
	case frame.Error != nil:
		return nil, frame, nil
	case frame.End && frame.Seq != f.nextSeq:
		f.counters.gaps.Add(1)
		return nil, nil, &SequenceGapError{Expected: f.nextSeq, Received: frame.Seq}
	case frame.End:
		return nil, frame, nil
	case len(frame.Data) > 0:
		expected, err := f.accept(frame.Seq, frame.EventID)
		if !expected {
			return nil, nil, err
		}
		return frame.Data, nil, nil
	}
	return nil, nil, nil // a keep-alive
}
