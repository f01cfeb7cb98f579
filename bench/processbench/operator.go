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

// postChange makes a change through the first host, based on the newest revision in the table.
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
	resp, err := send(ctx, http.MethodPost, url, local.OperatorToken, data)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %d: %s", path, resp.StatusCode, resp.Body)
	}
	return nil
}

// memberCount returns the number of members of the epoch that the first host reports.
func (b *bench) memberCount(ctx context.Context) (int, error) {
	resp, err := get(ctx, "http://"+b.processes[0].config.Admin.Listen+statusPath, local.OperatorToken)
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
	if err := json.Unmarshal(resp.Body, &status); err != nil {
		return 0, err
	}
	return len(status.Host.Membership.Members), nil
}

func (b *bench) waitMemberCount(ctx context.Context, want int) error {
	const timeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		n, err := b.memberCount(ctx)
		if err == nil && n == want {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("epoch has %d members after %s, want %d (%w)", n, timeout, want, err)
		}
		sleep(ctx, pollInterval)
	}
}
