package processbench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// Paths of the operators' API.
const (
	editsPath    = "/v1/settings/edits"
	withdrawPath = "/v1/customers/%s/keys/%s/withdraw"
	statusPath   = "/v1/status"
)

// change makes a change through the first host, based on the newest revision.
func (b *bench) postChange(ctx context.Context, path string, body map[string]any) error {
	head, err := b.platform.Table.Get(ctx, store.HeadKey())
	if err != nil {
		return err
	}
	body["change_id"] = uuid.NewString()
	body["base"] = head.Version
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + b.processes[0].config.Admin.Listen + path
	answer, err := send(ctx, http.MethodPost, url, local.OperatorToken, data)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: %d %s", path, answer.StatusCode, answer.Body)
	}
	return nil
}

// members returns the size of the epoch as the first host sees it.
func (b *bench) memberCount(ctx context.Context) (int, error) {
	answer, err := get(ctx, "http://"+b.processes[0].config.Admin.Listen+statusPath, local.OperatorToken)
	if err != nil {
		return 0, err
	}
	var status struct {
		Host struct {
			Membership struct {
				Members []json.RawMessage
			} `json:"membership"`
		} `json:"host"`
	}
	if err := json.Unmarshal(answer.Body, &status); err != nil {
		return 0, err
	}
	return len(status.Host.Membership.Members), nil
}

func (b *bench) waitMemberCount(ctx context.Context, want int) error {
	const patience = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		n, err := b.memberCount(ctx)
		if err == nil && n == want {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("the epoch has %d members after %s, not %d (%w)", n, patience, want, err)
		}
		sleep(ctx, pollInterval)
	}
}
