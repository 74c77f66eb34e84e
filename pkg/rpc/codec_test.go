package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
)

// TestCodec checks that a message is read back, and that truncated and oversized ones are rejected.
func TestCodec(t *testing.T) {
	var whole bytes.Buffer
	if err := (codec{}).WriteObject(&whole, map[string]int{"a": 1}); err != nil {
		t.Fatal(err)
	}
	truncated := whole.Bytes()[:whole.Len()-1]
	large := binary.AppendUvarint(nil, maxMessageBytes+1)
	huge := binary.AppendUvarint(nil, 1<<63)
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"whole", whole.Bytes(), nil},
		{"truncated", truncated, io.ErrUnexpectedEOF},
		{"too large", large, ErrTooLarge},
		{"overflowing size", huge, ErrTooLarge},
	} {
		var got map[string]int
		err := (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(c.in)), &got)
		if !errors.Is(err, c.want) || (err == nil) != (got["a"] == 1) {
			t.Errorf("%s: %v, %v", c.name, got, err)
		}
	}
}
