package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const announceTimeout = time.Second

var errAnnounce = eris.New("gate did not take the announcement")

// announceLoop tells one gate of the member, and another when that fails.
func (e *Engine) announceLoop(ctx context.Context) error {
	if len(e.options.Gates) == 0 {
		return nil
	}
	gate := int(uint64(e.options.Incarnation) % uint64(len(e.options.Gates)))
	for {
		e.faults.waitPause(ctx)
		if err := e.announce(ctx, e.options.Gates[gate]); err != nil {
			e.log.Debug("announcement failed", "gate", e.options.Gates[gate], "err", err)
			gate = (gate + 1) % len(e.options.Gates)
		}
		if !sleep(ctx, e.options.AnnounceInterval) {
			return nil
		}
	}
}

func (e *Engine) announcement() announce.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.options
	return announce.Announcement{
		Host: view.Host{
			Name:          o.Name,
			Incarnation:   o.Incarnation,
			Kind:          view.KindEngine,
			Address:       o.Address,
			FailureDomain: o.FailureDomain,
			FabricDomain:  o.FabricDomain,
			ChecksFence:   !o.IgnoreFence,
			Leaving:       e.leaving,
		},
		Status: e.role.status(o.Incarnation),
	}
}

// Announce tells one gate of the member, once.
func (e *Engine) announce(ctx context.Context, gate string) error {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate+announce.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := e.client.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return eris.Wrapf(errAnnounce, "status %d", res.StatusCode)
	}
	return nil
}

// AnnounceLeaving tells every gate once that the member is about to stop.
func (e *Engine) AnnounceLeaving(ctx context.Context) {
	e.SetLeaving()
	for _, g := range e.options.Gates {
		if err := e.announce(ctx, g); err != nil {
			e.log.Debug("announcement failed", "gate", g, "err", err)
		}
	}
}
