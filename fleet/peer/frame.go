package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet/peer/peerpb"
)

// errTooLarge means that the length of a message exceeds a limit.
var errTooLarge = errors.New("peer: message exceeds the limit")

// headerReader limits the memory that is allocated for a header before its bytes have arrived.
var headerReader = protodelim.UnmarshalOptions{MaxSize: maxHeaderBytes}

// readRequestHeader reads the header of a request. It returns errTooLarge if the stated length of the body exceeds maxBody.
func readRequestHeader(r *bufio.Reader, maxBody int64) (*peerpb.RequestHeader, error) {
	header := &peerpb.RequestHeader{}
	if err := headerReader.UnmarshalFrom(r, header); err != nil {
		return nil, err
	}
	return header, checkBodyLength(header.GetBodyBytes(), maxBody)
}

func readResponseHeader(r *bufio.Reader, maxBody int64) (*peerpb.ResponseHeader, error) {
	header := &peerpb.ResponseHeader{}
	if err := headerReader.UnmarshalFrom(r, header); err != nil {
		return nil, err
	}
	return header, checkBodyLength(header.GetBodyBytes(), maxBody)
}

func checkBodyLength(stated uint64, maxBody int64) error {
	if stated > uint64(maxBody) {
		return fmt.Errorf("%w: %d bytes, at most %d", errTooLarge, stated, maxBody)
	}
	return nil
}

// readBody reads the message that follows a header. The caller must have checked the length.
func readBody(r *bufio.Reader, length uint64, message proto.Message) error {
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return proto.Unmarshal(body, message)
}

// encode returns the length-delimited header followed by the body.
func encode(header proto.Message, body []byte) ([]byte, error) {
	var frame frameBuffer
	if _, err := protodelim.MarshalTo(&frame, header); err != nil {
		return nil, err
	}
	return append(frame, body...), nil
}

// frameBuffer is an io.Writer that appends to a slice.
type frameBuffer []byte

func (b *frameBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
