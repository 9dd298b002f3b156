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

// Settings of the test cluster.
const (
	testZone          = "zone-a"
	testService       = "engine"
	testHandoverDelay = 3 * time.Second
	testTargets       = 2
	testLoadTime      = 60 * time.Millisecond
)

// memStore is an in-memory key-value service that uses the virtual time of the
// test.
type memStore struct {
	mu       sync.Mutex // guards all fields except down, which cluster.mu guards
	revision kv.Revision
	items    map[string]kv.Entry
	leases   map[uint64]memLease
	down     bool
}

// memLease is a lease of memStore.
type memLease struct {
	ttl     time.Duration
	expires time.Time
}

func newMemStore() *memStore {
	return &memStore{revision: kv.Revision(1).InEra(kv.FirstEra), items: map[string]kv.Entry{}, leases: map[uint64]memLease{}}
}

// expireLeases ends the leases whose time is over. m.mu must be held.
func (m *memStore) expireLeases() {
	for id, l := range m.leases {
		if time.Now().After(l.expires) {
			m.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. m.mu must be held.
func (m *memStore) endLease(id uint64) {
	delete(m.leases, id)
	for k, e := range m.items {
		if e.Lease.ID == id {
			delete(m.items, k)
			m.revision++
		}
	}
}

// revokeAllLeases ends all leases before their time, without notifying their
// owners.
func (m *memStore) revokeAllLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// nodeStore is a node's access to the store, either directly or through
// another node.
type nodeStore struct {
	c    *cluster
	node int
}

// awaitResponse waits for the latency of a call, 4 ms, and fails after a timeout
// of 450 ms if the node cannot reach the store.
func (s nodeStore) awaitResponse(ctx context.Context) error {
	s.c.mu.Lock()
	reachable := s.c.canReachStore(s.node)
	s.c.mu.Unlock()
	delay := 4 * time.Millisecond
	if !reachable {
		delay = 450 * time.Millisecond
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return kv.ErrUnavailable
	}
	if !reachable {
		return kv.ErrUnavailable
	}
	return nil
}

// begin waits for the latency of a call, and locks the store. It returns the era that
// the node knew before the call; the node learns the current one.
func (s nodeStore) begin(ctx context.Context) (known kv.Era, err error) {
	if err := s.awaitResponse(ctx); err != nil {
		return 0, err
	}
	s.c.store.mu.Lock()
	s.c.store.expireLeases()
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	known = s.c.eras[s.node]
	s.c.eras[s.node] = s.c.store.revision.Era()
	return known, nil
}

func (s nodeStore) Era() kv.Era {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.c.eras[s.node]
}

func (s nodeStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if _, err := s.begin(ctx); err != nil {
		return kv.Entry{}, err
	}
	m := s.c.store
	defer m.mu.Unlock()
	e, ok := m.items[key]
	if !ok {
		return e, kv.ErrNotFound
	}
	return e, nil
}

// CompareAndSwap compares only the counter of the revision and the identifier of the
// lease, as the service does. The checks of the eras are those of the client.
func (s nodeStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if expect != 0 && expect.Era() != s.Era() {
		return 0, kv.ErrConflict
	}
	if lease.ID != 0 && lease.Era != s.Era() {
		return 0, kv.ErrLeaseExpired
	}
	known, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	m := s.c.store
	defer m.mu.Unlock()
	if m.items[key].ModRevision.Counter() != expect.Counter() {
		return 0, kv.ErrConflict
	}
	if _, ok := m.leases[lease.ID]; lease.ID != 0 && !ok {
		return 0, kv.ErrLeaseExpired
	}
	m.revision++
	m.items[key] = kv.Entry{Key: key, Value: value, ModRevision: m.revision, Lease: lease}
	s.c.mu.Lock()
	dropResponse := s.c.dropResponses
	s.c.mu.Unlock()
	if dropResponse || known != m.revision.Era() && (expect != 0 || lease.ID != 0) {
		return 0, kv.ErrOutcomeUnknown
	}
	return m.revision, nil
}

func (s nodeStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if _, err := s.begin(ctx); err != nil {
		return kv.LeaseID{}, err
	}
	m := s.c.store
	defer m.mu.Unlock()
	m.revision++
	lease := kv.LeaseID{Era: m.revision.Era(), ID: m.revision.Counter()}
	m.leases[lease.ID] = memLease{ttl, time.Now().Add(ttl)}
	return lease, nil
}

func (s nodeStore) RenewLease(ctx context.Context, id kv.LeaseID) error {
	if id.Era != s.Era() {
		return kv.ErrLeaseExpired
	}
	if _, err := s.begin(ctx); err != nil {
		return err
	}
	m := s.c.store
	defer m.mu.Unlock()
	l, ok := m.leases[id.ID]
	if !ok || m.revision.Era() != id.Era {
		return kv.ErrLeaseExpired
	}
	m.leases[id.ID] = memLease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

func (s nodeStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if id.Era != s.Era() {
		return kv.ErrLeaseExpired
	}
	if _, err := s.begin(ctx); err != nil {
		return err
	}
	m := s.c.store
	defer m.mu.Unlock()
	m.endLease(id.ID)
	return nil
}

// receivedOrder is an order as a target received it.
type receivedOrder struct {
	at     time.Time
	target string
	sender fleet.NodeID
	token  uint64
}

// fakeEngine is a target that loads one model at a time.
type fakeEngine struct {
	sequence uint64
	models   map[string]bool
	loadEnds time.Time
	loading  string
}

// cluster simulates the nodes of a zone, their connections, the store and the
// targets.
type cluster struct {
	store *memStore

	// mu guards all fields below. Some tests read owners without it.
	mu               sync.Mutex
	owners           []*Owner
	cancels          []context.CancelFunc
	partitioned      [][]bool // whether two nodes are partitioned from each other
	storePartitioned []bool
	dropResponses    bool
	eras             []kv.Era // the era that each node has seen
	orders           []receivedOrder
	targets          map[string]*fakeEngine
	startCount       int
	// frozenUntil is allocated by newCluster and has no effect.
	frozenUntil []time.Time
}

// newCluster returns a cluster whose nodes have not started.
func newCluster(nodes int) *cluster {
	c := &cluster{store: newMemStore(), targets: map[string]*fakeEngine{}, storePartitioned: make([]bool, nodes), partitioned: make([][]bool, nodes), frozenUntil: make([]time.Time, nodes), eras: make([]kv.Era, nodes)}
	for i := range nodes {
		c.partitioned[i] = make([]bool, nodes)
	}
	for i := range testTargets {
		c.targets[fmt.Sprint("t", i)] = &fakeEngine{models: map[string]bool{}}
	}
	c.owners = make([]*Owner, nodes)
	c.cancels = make([]context.CancelFunc, nodes)
	return c
}

// canReachStore reports whether a node's calls reach the store, directly or
// through a connected node. c.mu must be held.
func (c *cluster) canReachStore(node int) bool {
	if c.store.down {
		return false
	}
	if !c.storePartitioned[node] {
		return true
	}
	for other := range c.owners {
		if c.owners[other] != nil && !c.partitioned[node][other] && !c.storePartitioned[other] {
			return true
		}
	}
	return false
}

// start starts node i with a new incarnation.
func (c *cluster) start(ctx context.Context, i int) {
	ctx, cancel := context.WithCancel(ctx)
	log := zerolog.Nop()
	c.mu.Lock()
	c.startCount++
	c.eras[i] = 0
	self := fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", i)), Zone: testZone, Addr: fmt.Sprint("addr", i), Incarnation: fmt.Sprint("start", c.startCount)}
	o := New(Config{
		Self: self, Zones: []fleet.Zone{self.Zone}, CPUCapacity: 1, MinLease: time.Second, HandoverDelay: testHandoverDelay, Store: nodeStore{c, i}, Targets: nodeTargets{c, i},
		Network: nodeNetwork{c, i}, Log: &log, ConfigurationVersion: func() int64 { return 1 }, BootClock: time.Now,
	})
	c.owners[i], c.cancels[i] = o, cancel
	c.mu.Unlock()
	o.SetServices(testTable())
	o.SetTargets(testTargetSet())
	go o.Run(ctx)
	go c.watchKeys(ctx, i, o)
	go c.generateRequests(ctx, o)
}

// crash stops node i without releasing its lease.
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

// watchKeys reads the zone's keys regularly and passes them to the node, as a
// watch would.
func (c *cluster) watchKeys(ctx context.Context, i int, o *Owner) {
	for ctx.Err() == nil {
		if e, err := (nodeStore{c, i}).Get(ctx, LastOwnerKey(testZone)); err == nil {
			o.ObserveLastOwner(e.Value, e.ModRevision)
		}
		o.refreshKey(ctx, OwnerKey(testZone))
		select {
		case <-time.After(60 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// generateRequests requests slots for random models, so that the owner keeps
// sending orders.
func (c *cluster) generateRequests(ctx context.Context, o *Owner) {
	r := rand.New(rand.NewPCG(7, 7))
	for n := 0; ctx.Err() == nil; n++ {
		model := fmt.Sprint("m", r.IntN(4))
		go func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			m := &wire.SlotRequest{RequestID: fmt.Sprint(n), Service: testService, Model: model, TimeToDeadlineMillis: 1000, TimeToObjectiveMillis: 900, OtherZonesRefused: true}
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
		e.Models[name] = &route.Model{Name: name, WeightsMB: 100, WeightStoreLoadTime: testLoadTime, DiskLoadTime: testLoadTime, MemoryLoadTime: testLoadTime}
	}
	return route.NewTable(1, nil, map[string]*route.Service{testService: {Name: testService, Engine: e}}, route.RequestLimits{})
}

func testTargetSet() *inventory.TargetSet {
	var out []*inventory.Target
	for i := range testTargets {
		out = append(out, &inventory.Target{ID: fmt.Sprint("t", i), Service: testService, Zone: testZone, Slots: 4, OnDisk: []string{"m0", "m1", "m2", "m3"}})
	}
	return inventory.NewTargetSet(out)
}

// nodeTargets is a node's access to the targets.
type nodeTargets struct {
	c    *cluster
	node int
}

func (t nodeTargets) Order(_ context.Context, target *inventory.Target, o scheduler.Order, token uint64) (scheduler.OrderResult, error) {
	time.Sleep(2 * time.Millisecond)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.orders = append(t.c.orders, receivedOrder{time.Now(), target.ID, fleet.NodeID(fmt.Sprint("n", t.node)), token})
	e := t.c.targets[target.ID]
	e.finishLoad()
	if e.loading != "" || o.Sequence != e.sequence {
		return scheduler.OrderRejected, nil
	}
	e.sequence++
	if o.Operation == scheduler.Unload {
		delete(e.models, o.Model)
		return scheduler.OrderAccepted, nil
	}
	e.loading, e.loadEnds = o.Model, time.Now().Add(testLoadTime)
	return scheduler.OrderAccepted, nil
}

// finishLoad completes the load in progress if its time is over. cluster.mu
// must be held.
func (e *fakeEngine) finishLoad() {
	if e.loading != "" && !time.Now().Before(e.loadEnds) {
		e.models[e.loading] = true
		e.loading = ""
	}
}

func (t nodeTargets) Report(_ context.Context, target *inventory.Target) (inventory.Report, error) {
	time.Sleep(2 * time.Millisecond)
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	e := t.c.targets[target.ID]
	e.finishLoad()
	r := inventory.Report{Sequence: e.sequence, OrderInProgress: e.loading != "", OnDisk: []string{"m0", "m1", "m2", "m3"}}
	for m := range e.models {
		r.Models = append(r.Models, inventory.LoadedModel{Name: m})
	}
	return r, nil
}

// nodeNetwork is a node's connections to the other nodes.
type nodeNetwork struct {
	c    *cluster
	node int
}

func (n nodeNetwork) Connected() []fleet.Node {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var out []fleet.Node
	for i, o := range n.c.owners {
		if i != n.node && o != nil && !n.c.partitioned[n.node][i] {
			out = append(out, o.cfg.Self)
		}
	}
	return out
}

func (n nodeNetwork) RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	time.Sleep(2 * time.Millisecond)
	n.c.mu.Lock()
	var peer, self *Owner
	for i, o := range n.c.owners {
		if o != nil && o.cfg.Self.ID == to && !n.c.partitioned[n.node][i] {
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

func (nodeNetwork) OtherZoneWeightStoreLoads() int { return 0 }

func (nodeNetwork) Send(fleet.NodeID, wire.Message) {}

func (n nodeNetwork) NodeCount() int { return len(n.c.owners) }

func (n nodeNetwork) Broadcast(m wire.Message) {
	if s, ok := m.(*wire.ZoneState); !ok || !s.Resigned {
		return
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	for i, o := range n.c.owners {
		if i != n.node && o != nil && !n.c.partitioned[n.node][i] {
			go o.EndPeerLease(fmt.Sprint("addr", n.node))
		}
	}
}
