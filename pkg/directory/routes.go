package directory

import "almondturn/fleet"

// anyService is the service of plain targets that serve all services.
const anyService fleet.Service = ""

// Plain returns the targets of all zones that run the plain service and take
// new requests.
func (d *Directory) Plain(s fleet.Service) []*Target {
	index := *d.plain.Load()
	out := make([]*Target, 0, len(index[s])+len(index[anyService]))
	for _, name := range []fleet.Service{s, anyService} {
		for _, e := range index[name] {
			if t := e.state.Load(); t.takesWork() {
				out = append(out, t)
			}
		}
	}
	return out
}

// Working returns a target, and false when it takes no new requests.
func (d *Directory) Working(id fleet.TargetID) (*Target, bool) {
	t, ok := d.Lookup(id)
	if !ok || !t.takesWork() {
		return nil, false
	}
	return t, true
}

// takesWork tells that the target is neither leaving nor out of reach.
func (t *Target) takesWork() bool { return t.LeavingBy == "" && !t.Unreachable }
