package load

import (
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// Checker determines the correct answers of a model.
type Checker interface {
	// ExpectedText returns the complete text for a request from the version that
	// the answer's system fingerprint names.
	ExpectedText(r *infer.Request, fingerprint string) string
}

// EngineChecker computes the deterministic answers of the stand-in engine.
type EngineChecker struct{}

// ExpectedText implements Checker.
func (EngineChecker) ExpectedText(r *infer.Request, fingerprint string) string {
	version := strings.TrimPrefix(fingerprint, infer.FingerprintPrefix)
	_, adapter := infer.SplitModel(r.Model)
	return engine.NewAnswer(version, adapter, r.Prompt(), r.Seed, r.MaxTokens).Text()
}

// AcceptAnyAnswer is a Checker that accepts every answer, for real engines.
type AcceptAnyAnswer struct{}

// ExpectedText implements Checker.
func (AcceptAnyAnswer) ExpectedText(*infer.Request, string) string { return "" }
