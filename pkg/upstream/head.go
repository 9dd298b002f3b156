package upstream

import (
	"errors"
	"io"
)

// maxHeadBytes is the maximum size of a response's head: its status line and
// headers. Up to readBufferBytes more may be read.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that the head of a response did not end within
// maxHeadBytes.
var ErrHeadTooLarge = errors.New("the head of the answer exceeds the size limit")

// headLimiter passes reads on, and fails them while a head is being read and its
// bytes are used up. The parser of net/http has no limit of its own.
type headLimiter struct {
	in io.Reader
	// limited is true while a head is being read; left is the number of bytes that
	// may still be read then.
	limited bool
	left    int
}

// begin limits the following reads to those of one head.
func (l *headLimiter) begin() { l.limited, l.left = true, maxHeadBytes }

// end removes the limit.
func (l *headLimiter) end() { l.limited = false }

// Read implements io.Reader. It returns ErrHeadTooLarge if the limit is reached.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.limited && l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.in.Read(b)
	l.left -= n
	return n, err
}
