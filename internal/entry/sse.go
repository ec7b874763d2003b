package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	maxEventBytes     = 1 << 20 // data of one event, or one line
	streamBufferBytes = 16 << 10
)

var errEventTooLarge = errors.New("entry: event too large")

var dataField = []byte("data:")

// readEvent returns the data of the next server-sent event. Other fields are
// ignored.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && data != nil {
			return data, nil
		}
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		}
		if len(data) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}

// readLine returns the next line without its line ending.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errEventTooLarge
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
