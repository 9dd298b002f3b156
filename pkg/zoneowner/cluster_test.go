package zoneowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

const (
	testZone     = "zone-a"
	testService  = "engine"
	testPause    = 3 * time.Second
	testTargets  = 2
	testLoadTime = 60 * time.Millisecond
)

// memStore is a key-value service in memory, in the time of the test.
type memStore struct {
	mu       sync.Mutex // guards all fields
	revision kv.Revision
	items    map[string]kv.Entry
	leases   map[kv.LeaseID]memLease
	down     bool
}

type memLease struct {
	ttl     time.Duration
	expires time.Time
}

func newMemStore() *memStore {
	return &memStore{revision: 1, items: map[string]kv.Entry{}, leases: map[kv.LeaseID]memLease{}}
}

func (m *memStore) lapse() {
	for id, l := range m.leases {
		if time.Now().After(l.expires) {
			m.end(id)
		}
	}
}

func (m *memStore) end(id kv.LeaseID) {
	delete(m.leases, id)
	for k, e := range m.items {
		if e.Lease == id {
			delete(m.items, k)
			m.revision++
		}
	}
}

// revoke takes all leased keys away without a word.
func (m *memStore) revoke() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.end(id)
	}
}

// storeOf is a node's way to the store: directly or through another node.
type storeOf struct {
	c    *cluster
	node int
}

func (s storeOf) reach(ctx context.Context) error {
	s.c.mu.Lock()
	ok := s.c.reaches(s.node)
	s.c.mu.Unlock()
	delay := 4 * time.Millisecond
	if !ok {
		delay = 450 * time.Millisecond
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return kv.ErrUnavailable
	}
	if !ok {
		return kv.ErrUnavailable
	}
	return nil
}

func (s storeOf) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.reach(ctx); err != nil {
		return kv.Entry{}, err
	}
	m := s.c.store
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	e, ok := m.items[key]
	if !ok {
		return e, kv.ErrNotFound
	}
	return e, nil
}

func (s storeOf) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	m := s.c.store
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	if m.items[key].ModRevision != expect {
		return 0, kv.ErrConflict
	}
	if _, ok := m.leases[lease]; lease != 0 && !ok {
		return 0, kv.ErrLeaseExpired
	}
	m.revision++
	m.items[key] = kv.Entry{Key: key, Value: value, ModRevision: m.revision, Lease: lease}
	s.c.mu.Lock()
	lost := s.c.loseAnswers
	s.c.mu.Unlock()
	if lost {
		return 0, kv.ErrOutcomeUnknown
	}
	return m.revision, nil
}

func (s storeOf) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	m := s.c.store
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.leases[kv.LeaseID(m.revision)] = memLease{ttl, time.Now().Add(ttl)}
	return kv.LeaseID(m.revision), nil
}

func (s storeOf) RenewLease(ctx context.Context, id kv.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	m := s.c.store
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	l, ok := m.leases[id]
	if !ok {
		return kv.ErrLeaseExpired
	}
	m.leases[id] = memLease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

func (s storeOf) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	m := s.c.store
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(id)
	return nil
}

// sentOrder is an order as a target has got it.
type sentOrder struct {
	at     time.Time
	target string
	holder fleet.NodeID
	token  uint64
}

// memTarget is an engine.
type memTarget struct {
	sequence uint64
	models   map[string]bool
	busy     time.Time
	coming   string
}

// cluster is the nodes of a zone with their connections.
type cluster struct {
	store *memStore

	mu          sync.Mutex // guards all below
	owners      []*Owner
	cancels     []context.CancelFunc
	cut         [][]bool // between nodes
	storeCut    []bool
	loseAnswers bool
	orders      []sentOrder
	targets     map[string]*memTarget
	starts      int
	// frozen is until when a node's orders are held back.
	frozen []time.Time
}

func newCluster(nodes int) *cluster {
	c := &cluster{store: newMemStore(), targets: map[string]*memTarget{}, storeCut: make([]bool, nodes), cut: make([][]bool, nodes), frozen: make([]time.Time, nodes)}
	for i := range nodes {
		c.cut[i] = make([]bool, nodes)
	}
	for i := range testTargets {
		c.targets[fmt.Sprint("t", i)] = &memTarget{models: map[string]bool{}}
	}
	c.owners = make([]*Owner, nodes)
	c.cancels = make([]context.CancelFunc, nodes)
	return c
}

// reaches tells whether a node's calls get to the store. c.mu is held.
func (c *cluster) reaches(node int) bool {
	if c.store.down {
		return false
	}
	if !c.storeCut[node] {
		return true
	}
	for other := range c.owners {
		if c.owners[other] != nil && !c.cut[node][other] && !c.storeCut[other] {
			return true
		}
	}
	return false
}

func (c *cluster) start(ctx context.Context, i int) {
	ctx, cancel := context.WithCancel(ctx)
	log := zerolog.Nop()
	c.mu.Lock()
	c.starts++
	self := fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", i)), Zone: testZone, Addr: fmt.Sprint("addr", i), Incarnation: fmt.Sprint("start", c.starts)}
	o := New(Config{
		Self: self, Zones: []fleet.Zone{self.Zone}, CPUCapacity: 1, MinLease: time.Second, HandoverDelay: testPause, Store: storeOf{c, i}, Targets: targetsOf{c, i},
		Network: networkOf{c, i}, Log: &log, Version: func() int64 { return 1 }, BootClock: time.Now,
	})
	c.owners[i], c.cancels[i] = o, cancel
	c.mu.Unlock()
	o.SetTable(testTable())
	o.SetView(testView())
	go o.Run(ctx)
	go c.watch(ctx, i, o)
	go c.demand(ctx, o)
}

// crash ends a node without a word.
func (c *cluster) crash(i int) {
	c.mu.Lock()
	o, cancel := c.owners[i], c.cancels[i]
	c.owners[i] = nil
	c.mu.Unlock()
	if o != nil {
		o.Abort()
		cancel()
	}
}

// watch tells a node of the key, as a watch does.
func (c *cluster) watch(ctx context.Context, i int, o *Owner) {
	for ctx.Err() == nil {
		if e, err := (storeOf{c, i}).Get(ctx, LastOwnerKey(testZone)); err == nil {
			o.ObserveLastOwner(e.Value)
		}
		o.reread(ctx, OwnerKey(testZone))
		select {
		case <-time.After(60 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// demand asks for models so that the owner keeps giving orders.
func (c *cluster) demand(ctx context.Context, o *Owner) {
	r := rand.New(rand.NewPCG(7, 7))
	for n := 0; ctx.Err() == nil; n++ {
		model := fmt.Sprint("m", r.IntN(4))
		go func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			m := &wire.SlotRequest{RequestID: fmt.Sprint(n), Service: testService, Model: model, DeadlineMillis: 1000, ObjectiveMillis: 900, LastResort: true}
			if p := o.AcquireSlot(ctx, "client", m); p.Run != 0 {
				o.RunEnded(&wire.RunEnded{Run: p.Run})
			}
		}()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func testTable() *route.Table {
	e := &route.Engine{Slots: 4, CacheTokens: 1000, WeightsMB: 100, LoadsPerSecond: 100, Models: map[string]*route.Model{}}
	for i := range 4 {
		name := fmt.Sprint("m", i)
		e.Models[name] = &route.Model{Name: name, WeightsMB: 100, LoadTime: testLoadTime, DiskLoadTime: testLoadTime, MemoryLoadTime: testLoadTime}
	}
	return route.NewTable(1, nil, map[string]*route.Service{testService: {Name: testService, Engine: e}}, route.Limits{})
}

func testView() *inventory.View {
	var out []*inventory.Target
	for i := range testTargets {
		out = append(out, &inventory.Target{ID: fmt.Sprint("t", i), Service: testService, Zone: testZone, Slots: 4, OnDisk: []string{"m0", "m1", "m2", "m3"}})
	}
	return inventory.NewView(out)
}

// targetsOf is a node's way to the targets.
type targetsOf struct {
	c    *cluster
	node int
}

func (t targetsOf) Order(_ context.Context, target *inventory.Target, o scheduler.Order, token uint64) (scheduler.OrderResult, error) {
	time.Sleep(2 * time.Millisecond)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.orders = append(t.c.orders, sentOrder{time.Now(), target.ID, fleet.NodeID(fmt.Sprint("n", t.node)), token})
	e := t.c.targets[target.ID]
	e.settle()
	if e.coming != "" || o.Sequence != e.sequence {
		return scheduler.OrderRejected, nil
	}
	e.sequence++
	if o.Operation == scheduler.Unload {
		delete(e.models, o.Model)
		return scheduler.OrderAccepted, nil
	}
	e.coming, e.busy = o.Model, time.Now().Add(testLoadTime)
	return scheduler.OrderAccepted, nil
}

func (e *memTarget) settle() {
	if e.coming != "" && !time.Now().Before(e.busy) {
		e.models[e.coming] = true
		e.coming = ""
	}
}

func (t targetsOf) Report(_ context.Context, target *inventory.Target) (inventory.Report, error) {
	time.Sleep(2 * time.Millisecond)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	e := t.c.targets[target.ID]
	e.settle()
	r := inventory.Report{Sequence: e.sequence, OrderInProgress: e.coming != "", OnDisk: []string{"m0", "m1", "m2", "m3"}}
	for m := range e.models {
		r.Models = append(r.Models, inventory.LoadedModel{Name: m})
	}
	return r, nil
}

// networkOf is a node's connections.
type networkOf struct {
	c    *cluster
	node int
}

func (n networkOf) Connected() []fleet.Node {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var out []fleet.Node
	for i, o := range n.c.owners {
		if i != n.node && o != nil && !n.c.cut[n.node][i] {
			out = append(out, o.cfg.Self)
		}
	}
	return out
}

func (n networkOf) RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	time.Sleep(2 * time.Millisecond)
	n.c.mu.Lock()
	var peer, self *Owner
	for i, o := range n.c.owners {
		if o != nil && o.cfg.Self.ID == to && !n.c.cut[n.node][i] {
			peer = o
		}
	}
	self = n.c.owners[n.node]
	n.c.mu.Unlock()
	if peer == nil || self == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return peer.GrantPeerLease(self.cfg.Self, m), nil
}

func (networkOf) OtherZoneStoreLoads() int { return 0 }

func (networkOf) Send(fleet.NodeID, wire.Message) {}

func (n networkOf) NodeCount() int { return len(n.c.owners) }

func (n networkOf) Broadcast(m wire.Message) {
	if s, ok := m.(*wire.ZoneState); !ok || !s.Resigned {
		return
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	for i, o := range n.c.owners {
		if i != n.node && o != nil && !n.c.cut[n.node][i] {
			go o.EndPeerLease(fmt.Sprint("addr", n.node))
		}
	}
}
