package upstream

import "errors"

// prefixBufferBytes is the size of one read of ReadPrefix.
const prefixBufferBytes = 4 << 10

// ErrPrefixTooLong means that a prefix of a body exceeds the limit of ReadPrefix.
var ErrPrefixTooLong = errors.New("the beginning of the answer exceeds the size limit")

// ReadPrefix reads the body until enough returns true or an error, the body ends, or limit
// bytes were read. enough is called with each part that was read, in order. Later calls of
// Read return the same bytes again, and then the rest. The result is nil if enough returned
// true, io.EOF if the body ended before, and otherwise the error.
func (r *Response) ReadPrefix(limit int, enough func(part []byte) (bool, error)) error {
	buf := make([]byte, prefixBufferBytes)
	for len(r.prefix) < limit {
		n, err := r.readBody(buf)
		r.prefix = append(r.prefix, buf[:n]...)
		r.prefixErr = err
		done, enoughErr := enough(buf[:n])
		switch {
		case enoughErr != nil:
			return enoughErr
		case done:
			return nil
		case err != nil:
			return err
		}
	}
	return ErrPrefixTooLong
}

// readPrefix reads what ReadPrefix has read. ok is false if nothing of it is left.
func (r *Response) readPrefix(b []byte) (n int, ok bool, err error) {
	if len(r.prefix) > 0 {
		n = copy(b, r.prefix)
		r.prefix = r.prefix[n:]
		return n, true, nil
	}
	return 0, r.prefixErr != nil, r.prefixErr
}
