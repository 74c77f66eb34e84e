package load

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/ledger"
)

// ruleRecordReadable is broken if the executions of a service can't be read.
const ruleRecordReadable ledger.Rule = "the services' record can be read"

// checkOnce checks the ledger of once-only calls against the executions that the
// stand-in services recorded, if any services are configured.
func (r *Runner) checkOnce(ctx context.Context) {
	if len(r.options.Records) == 0 || r.options.Once == 0 {
		return
	}
	var executions []ledger.Execution
	for _, address := range r.options.Records {
		list, err := r.executions(ctx, address)
		if err != nil {
			r.addViolations(ledger.Violation{Rule: ruleRecordReadable, Key: address, Detail: err.Error()})
			return
		}
		executions = append(executions, list...)
	}
	r.addViolations(ledger.CheckOnce(r.ledger.Entries(), executions)...)
}

// executions reads the executions of this load from a stand-in service.
func (r *Runner) executions(ctx context.Context, address string) ([]ledger.Execution, error) {
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+address+"/executions", nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var all []service.Execution
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, eris.Wrap(errBadAnswer, err.Error())
	}
	prefix := keyPrefix(&r.options)
	var list []ledger.Execution
	for _, x := range all {
		if !strings.HasPrefix(x.Key, prefix) {
			continue
		}
		list = append(list, ledger.Execution{
			Serial:       x.Serial,
			Request:      x.Request,
			Organisation: x.Organisation,
			Key:          x.Key,
			Content:      x.Body,
			Answer:       x.Answer(),
		})
	}
	return list, nil
}
