package load

import (
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// Checker knows what a model must answer.
type Checker interface {
	// ExpectedText returns the whole text for a request by the version that answered,
	// as told in the answer's system fingerprint.
	ExpectedText(r *infer.Request, fingerprint string) string
}

// EngineChecker knows the answers of the stand-in engine.
type EngineChecker struct{}

// ExpectedText implements Checker.
func (EngineChecker) ExpectedText(r *infer.Request, fingerprint string) string {
	version := strings.TrimPrefix(fingerprint, infer.FingerprintPrefix)
	_, adapter := infer.SplitModel(r.Model)
	return engine.NewAnswer(version, adapter, r.Prompt(), r.Seed, r.MaxTokens).Text()
}

// AcceptAnyAnswer takes any answer, for real engines.
type AcceptAnyAnswer struct{}

// ExpectedText implements Checker.
func (AcceptAnyAnswer) ExpectedText(*infer.Request, string) string { return "" }
