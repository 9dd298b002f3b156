package ctl

import (
	"context"
	"fmt"
	"net/http"
)

type acknowledgeCmd struct{}

// acknowledge lets all nodes write again to a key-value service that came
// back older.
func (r *runner) acknowledge(ctx context.Context) error {
	answer, err := r.client.do(ctx, request{method: http.MethodPost, path: apiRoot + "/platform/acknowledge"})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(answer.body)
	}
	_, err = fmt.Fprintln(r.env.Stdout, "acknowledged: all nodes write to the key-value service again")
	return err
}
