package service

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// announceLoop announces the host to all gates once per interval until the
// context ends.
func (s *Service) announceLoop(ctx context.Context) {
	tick := time.NewTicker(announce.Interval)
	defer tick.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Service) announce(ctx context.Context) {
	a := announce.Announcement{Host: s.config.Host, Status: s.status()}
	a.Host.Leaving = s.leaving.Load()
	body, err := json.Marshal(a)
	if err != nil {
		s.log.Error("announcement can't be encoded", "err", err)
		return
	}
	for _, gate := range s.config.Gates {
		if err := s.post(ctx, gate, body); err != nil {
			s.log.Debug("announcement failed", "gate", gate, "err", err)
		}
	}
}

func (s *Service) post(ctx context.Context, gate string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announce.Interval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate+announce.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.config.Client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (s *Service) status() report.Status {
	return report.Status{Incarnation: s.config.Host.Incarnation, Phase: report.PhaseReady}
}
