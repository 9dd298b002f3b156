package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"almondturn/pkg/config"
)

// listeners are the node's open ports.
type listeners struct {
	callers, operators, inner net.Listener
}

// openListeners opens all ports, or none.
func openListeners(c *config.Config, innerTLS *tls.Config) (*listeners, error) {
	var l listeners
	var err error
	if l.callers, err = open("callers", c.Listen.Callers, c.TLS.Callers); err != nil {
		return nil, err
	}
	if l.operators, err = open("operators", c.Listen.Operators, c.TLS.Operators); err != nil {
		l.close()
		return nil, err
	}
	if l.inner, err = open("inner", c.Listen.Inner, config.KeyPair{}); err != nil {
		l.close()
		return nil, err
	}
	if innerTLS != nil {
		l.inner = tls.NewListener(l.inner, innerTLS)
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.inner} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func open(name, addr string, pair config.KeyPair) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen.%s: %w", name, err)
	}
	if pair.Cert == "" {
		return l, nil
	}
	cert, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("tls.%s: %w", name, err)
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// server is an HTTP server on one listener.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

func newServer(l net.Listener, h http.Handler) *server {
	return &server{
		http:     &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
		listener: l,
		done:     make(chan struct{}),
	}
}

func (s *server) start() {
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
}

// shutdown refuses new connections and waits until all requests have ended
// or ctx ends.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fmt.Errorf("requests still in progress: %w", err)
	}
	<-s.done
	return err
}

// abort closes the listener and all connections at once.
func (s *server) abort() {
	_ = s.http.Close()
	<-s.done
}
