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

// maxMessageBytes bounds one message, in bytes. The largest are whole views and
// answers with time lines.
const maxMessageBytes = 64 << 20

// codec frames messages as jsonrpc2.VarintObjectCodec does, and refuses those
// over maxMessage before it reads them.
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
	// The buffer grows with what comes, not with what was announced.
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
