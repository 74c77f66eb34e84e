package rpc

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the maximum size of one message where none is set. The largest messages are whole
// views and replies with timelines.
const maxMessageBytes = 64 << 20

// firstReadBytes is the memory that a message gets before more of it has arrived.
const firstReadBytes = 64 << 10

// codec frames messages like jsonrpc2.VarintObjectCodec, but rejects those larger than most, or
// maxMessageBytes if that is 0, before reading them.
type codec struct {
	jsonrpc2.VarintObjectCodec
	most int
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > uint64(cmp.Or(c.most, maxMessageBytes)) {
		return eris.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	message, err := readMessage(stream, int(size))
	if err != nil {
		return err
	}
	return json.Unmarshal(message, v)
}

// readMessage reads a message. Its memory grows with the data received, so that a wrong size does not
// allocate any, and not beyond the size.
func readMessage(stream io.Reader, size int) ([]byte, error) {
	message, read := make([]byte, min(size, firstReadBytes)), 0
	for {
		n, err := io.ReadFull(stream, message[read:])
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if read += n; read == size {
			return message, nil
		}
		grown := make([]byte, min(size, 2*len(message)))
		copy(grown, message)
		message = grown
	}
}
