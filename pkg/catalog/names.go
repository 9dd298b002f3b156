package catalog

import (
	"context"
	"errors"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// nameClaim is the value of a claimed name: service names and API keys belong
// to one team at a time.
type nameClaim struct {
	Team fleet.Team `cbor:"1,keyasint"`
	// WriteID is that of the change that claimed or renewed it.
	WriteID string `cbor:"2,keyasint"`
}

func serviceNameKey(name fleet.Service) string { return prefixName + "service/" + string(name) }

func apiKeyNameKey(hash string) string { return prefixName + "apikey/" + hash }

// nameKeys returns the names that a subtree needs, each with the path that
// declares it. The subtree may be nil.
func nameKeys(spec *TeamSpec) map[string]string {
	out := map[string]string{}
	if spec == nil {
		return out
	}
	for i := range spec.Services {
		out[serviceNameKey(spec.Services[i].Name)] = fmt.Sprintf("services[%d].name", i)
	}
	for i, c := range spec.Callers {
		out[apiKeyNameKey(c.KeyHash)] = fmt.Sprintf("callers[%d].key_sha256", i)
	}
	return out
}

// claimNames claims the names that the head does not hold yet, and notes the
// team's claims that the new subtree does not need, for removal after the
// commit. Two teams that race for a name meet at its compare-and-swap.
func (w *write) claimNames(ctx context.Context) error {
	entries, _, err := w.r.kv.List(ctx, prefixName)
	if err != nil {
		return platformFault(err)
	}
	byKey := make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	held, wanted := nameKeys(w.before), nameKeys(w.c.Spec)
	for key, path := range wanted {
		e, exists := byKey[key]
		if _, ok := held[key]; ok && exists && w.owns(e) {
			continue
		}
		if err := w.claimName(ctx, key, path, e); err != nil {
			return err
		}
	}
	for key, e := range byKey {
		if _, ok := wanted[key]; !ok && w.owns(e) {
			w.stale = append(w.stale, e)
		}
	}
	return nil
}

func (w *write) owns(e platform.Entry) bool {
	var claim nameClaim
	return decMode.Unmarshal(e.Value, &claim) == nil && claim.Team == w.c.Spec.Team
}

// claimName writes the claim over e, which is the zero entry for a free name.
func (w *write) claimName(ctx context.Context, key, path string, e platform.Entry) error {
	value, err := encMode.Marshal(nameClaim{Team: w.c.Spec.Team, WriteID: w.c.WriteID})
	if err != nil {
		return fmt.Errorf("encode claim of %s: %w", key, err)
	}
	wait := w.r.newBackOff()
	for {
		if e.ModRevision != 0 && !w.owns(e) {
			return w.takenFault(path)
		}
		_, err := w.r.kv.CompareAndSwap(ctx, key, value, e.ModRevision, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			return platformFault(err)
		}
		e, err = w.r.kv.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return platformFault(err)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return platformFault(ctx.Err())
		}
	}
}

// takenFault does not name the other team, whose settings are its own.
func (w *write) takenFault(path string) error {
	return fault.New(fault.InvalidCatalog, "%s: belongs to another team; want a name (or key) that no other team uses", path)
}
