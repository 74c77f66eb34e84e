package load

import (
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// Checker knows what a model must answer.
type Checker interface {
	// Want returns the whole text for a request by the version that answered,
	// as told in the answer's system fingerprint.
	Want(r *infer.Request, fingerprint string) string
}

// EngineChecker knows the answers of the stand-in engine.
type EngineChecker struct{}

// Want implements Checker.
func (EngineChecker) Want(r *infer.Request, fingerprint string) string {
	version := strings.TrimPrefix(fingerprint, infer.FingerprintPrefix)
	_, adapter := infer.SplitModel(r.Model)
	return engine.NewAnswer(version, adapter, r.Prompt(), r.Seed, r.MaxTokens).Text()
}

// NoChecker takes any answer, for real engines.
type NoChecker struct{}

// Want implements Checker.
func (NoChecker) Want(*infer.Request, string) string { return "" }
