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

// errTooLarge means that a stated length exceeds a limit.
var errTooLarge = errors.New("peer: message exceeds the limit")

// headerReader bounds the memory that a header takes before its stated length has arrived.
var headerReader = protodelim.UnmarshalOptions{MaxSize: maxHeaderBytes}

// readRequestHeader reads and checks the header of a request.
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

// readBody reads the message that follows a header. The stated length must be checked before.
func readBody(r *bufio.Reader, length uint64, message proto.Message) error {
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return proto.Unmarshal(body, message)
}

// encode returns header and body as they are sent.
func encode(header proto.Message, body []byte) ([]byte, error) {
	var frame frameBuffer
	if _, err := protodelim.MarshalTo(&frame, header); err != nil {
		return nil, err
	}
	return append(frame, body...), nil
}

// frameBuffer is an io.Writer that appends.
type frameBuffer []byte

func (b *frameBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
