package upstream

import "context"

// Connect opens a connection to addr and keeps it for a later request. An error means that
// none could be opened.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	p.put(addr, c)
	return nil
}
