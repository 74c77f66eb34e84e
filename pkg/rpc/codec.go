package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the maximum size of one message. The largest messages are whole views and
// replies with timelines.
const maxMessageBytes = 64 << 20

// codec frames messages like jsonrpc2.VarintObjectCodec, but rejects those larger than
// maxMessageBytes before reading them.
type codec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return eris.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	// The buffer grows with the data received, so that a wrong size does not allocate memory.
	var message bytes.Buffer
	_, err = io.CopyN(&message, stream, int64(size))
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(message.Bytes(), v)
}
