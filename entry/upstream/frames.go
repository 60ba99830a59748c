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
	// maxFrameBytes bounds one frame: the answer of a plain service, in base64.
	maxFrameBytes = 96 << 20
	// initialFrameBuffer holds the frames of a token, which have about 200 bytes.
	initialFrameBuffer = 4 << 10
)

// frameReader reads the frames of one answer. It passes on data in order and without gaps, whatever comes.
type frameReader struct {
	lines  *bufio.Scanner
	id     string
	prefix []byte
	// nextSeq is the sequence number of the data frame that is due.
	nextSeq int64
	counts  *counters
}

func newFrameReader(r io.Reader, id string, next int64, c *counters) *frameReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialFrameBuffer), maxFrameBytes)
	quoted, _ := json.Marshal(id) // A string always marshals.
	prefix := append(append([]byte(`{"id":`), quoted...), `,"seq":`...)
	return &frameReader{lines: lines, id: id, prefix: prefix, nextSeq: next, counts: c}
}

// read returns the data of the next event, or the frame that ends the answer. The data is valid until the next
// call. It fails with a *GapError, a *FrameError or a *BrokenError, after which nothing more may be read.
func (f *frameReader) read() (data []byte, last *peerapi.Frame, err error) {
	for f.lines.Scan() {
		line := f.lines.Bytes()
		if seq, data, ok := f.parseDataFrame(line); ok {
			if due, err := f.acceptSeq(seq); due || err != nil {
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

// parseDataFrame decodes a data frame in the form that peerapi.Frame encodes to. Every other line is left to slow.
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
	// A field after the data would make it no single JSON value.
	return seq, data, err == nil && json.Valid(data)
}

// acceptSeq says whether a data frame is the one that is due.
func (f *frameReader) acceptSeq(seq int64) (due bool, err error) {
	switch {
	case seq == f.nextSeq:
		f.nextSeq++
		return true, nil
	case seq < f.nextSeq:
		f.counts.late.Add(1)
		return false, nil
	}
	f.counts.gaps.Add(1)
	return false, &SequenceGapError{Want: f.nextSeq, Got: seq}
}

func (f *frameReader) handleFrame(frame *peerapi.Frame) (data []byte, last *peerapi.Frame, err error) {
	switch {
	case frame.ID != f.id:
		f.counts.crossed.Add(1)
		return nil, nil, nil
	case frame.Error != nil:
		return nil, frame, nil
	case frame.End && frame.Seq != f.nextSeq:
		f.counts.gaps.Add(1)
		return nil, nil, &SequenceGapError{Want: f.nextSeq, Got: frame.Seq}
	case frame.End:
		return nil, frame, nil
	case len(frame.Data) > 0:
		due, err := f.acceptSeq(frame.Seq)
		if !due {
			return nil, nil, err
		}
		return frame.Data, nil, nil
	}
	return nil, nil, nil // a keep-alive
}
