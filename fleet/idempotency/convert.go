package idempotency

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

var errMalformedMessage = errors.New("idempotency: malformed message")

func operationToProto(c *ClaimRequest) *idempotencypb.Operation {
	return &idempotencypb.Operation{
		Customer: string(c.Key.Customer), Id: c.Key.ID[:], Fingerprint: c.Fingerprint[:], Attempt: c.Attempt[:],
		InTable: c.InTable, TableSinceNs: unixNano(c.TableSince), Auto: c.Auto,
	}
}

func operationFromProto(m *idempotencypb.Operation) (ClaimRequest, error) {
	id, err := uuid.FromBytes(m.GetId())
	if err != nil {
		return ClaimRequest{}, errors.Join(errMalformedMessage, err)
	}
	attempt, err := uuid.FromBytes(m.GetAttempt())
	if err != nil {
		return ClaimRequest{}, errors.Join(errMalformedMessage, err)
	}
	if len(m.GetFingerprint()) != len(Fingerprint{}) {
		return ClaimRequest{}, errMalformedMessage
	}
	return ClaimRequest{
		Key:         Key{Customer: settings.CustomerID(m.GetCustomer()), ID: id},
		Fingerprint: Fingerprint(m.GetFingerprint()), Attempt: attempt,
		InTable: m.GetInTable(), TableSince: fromUnixNano(m.GetTableSinceNs()), Auto: m.GetAuto(),
	}, nil
}

func resultToProto(r *Result) *idempotencypb.Result {
	return &idempotencypb.Result{
		State: idempotencypb.State(r.State), Status: int32(r.Status), Header: headerToProto(r.Header),
		Trailer: headerToProto(r.Trailer), Body: r.Body, BodyLost: r.BodyLost,
	}
}

// resultFromProto converts a result. A state that this version does not know becomes Unknown.
func resultFromProto(m *idempotencypb.Result) Result {
	state := State(m.GetState())
	if state < Running || state > Unknown {
		state = Unknown
	}
	return Result{
		State: state, Status: int(m.GetStatus()), Header: headerFromProto(m.GetHeader()),
		Trailer: headerFromProto(m.GetTrailer()), Body: m.GetBody(), BodyLost: m.GetBodyLost(),
	}
}

func headerToProto(header http.Header) map[string]*idempotencypb.Values {
	if len(header) == 0 {
		return nil
	}
	values := make(map[string]*idempotencypb.Values, len(header))
	for name, list := range header {
		values[name] = &idempotencypb.Values{Values: list}
	}
	return values
}

func headerFromProto(values map[string]*idempotencypb.Values) http.Header {
	if len(values) == 0 {
		return nil
	}
	header := make(http.Header, len(values))
	for name, list := range values {
		header[name] = list.GetValues()
	}
	return header
}

func decisionToProto(d Decision) *idempotencypb.ClaimAnswer {
	response := &idempotencypb.ClaimAnswer{
		Verdict: idempotencypb.Verdict(d.Verdict), Kind: string(d.Kind), Outcome: string(d.Outcome),
	}
	if d.Result != nil {
		response.Result = resultToProto(d.Result)
	}
	return response
}

// decisionFromProto converts a response. An invalid one becomes a rejection with unknown outcome.
func decisionFromProto(m *idempotencypb.ClaimAnswer) Decision {
	d := Decision{Verdict: Verdict(m.GetVerdict()), Kind: errkind.Kind(m.GetKind()), Outcome: errkind.Outcome(m.GetOutcome())}
	if d.Verdict == Replayed && m.GetResult() != nil {
		result := resultFromProto(m.GetResult())
		d.Result = &result
		return d
	}
	if d.Verdict < Granted || d.Verdict > NotOwner || d.Verdict == Replayed {
		return Decision{Verdict: Rejected, Kind: errkind.OutcomeUnknown}
	}
	return d
}

func recordToProto(r *TransferredRecord) *idempotencypb.Record {
	return &idempotencypb.Record{
		Operation: operationToProto(&ClaimRequest{
			Key: r.Key, Fingerprint: r.Fingerprint, Attempt: r.Attempt, InTable: r.InTable,
		}),
		Result: resultToProto(&r.Result), RemainingMs: r.Remaining.Milliseconds(), Version: r.Version,
	}
}

func reportsToProto(reports []Report) []*idempotencypb.Report {
	messages := make([]*idempotencypb.Report, len(reports))
	for i, r := range reports {
		messages[i] = &idempotencypb.Report{
			Through: r.LastEpoch, Served: r.Served, Need: r.AwaitedEpoch, VouchedSinceNs: unixNano(r.CompleteSince),
		}
	}
	return messages
}

func transferFromProto(m *idempotencypb.SlotTransfer) (Transfer, error) {
	if m.GetSlot() >= Slots {
		return Transfer{}, errMalformedMessage
	}
	transfer := Transfer{Slot: int(m.GetSlot()), EvictedThrough: fromUnixNano(m.GetEvictedToNs())}
	for _, r := range m.GetRecords() {
		operation, err := operationFromProto(r.GetOperation())
		if err != nil {
			return Transfer{}, err
		}
		transfer.Records = append(transfer.Records, TransferredRecord{
			Key: operation.Key, Fingerprint: operation.Fingerprint, Attempt: operation.Attempt,
			Result: resultFromProto(r.GetResult()), Version: r.GetVersion(), InTable: operation.InTable,
			Remaining: time.Duration(r.GetRemainingMs()) * time.Millisecond,
		})
	}
	for _, r := range m.GetReports() {
		transfer.Reports = append(transfer.Reports, Report{
			LastEpoch: r.GetThrough(), Served: r.GetServed(), AwaitedEpoch: r.GetNeed(),
			CompleteSince: fromUnixNano(r.GetVouchedSinceNs()),
		})
	}
	return transfer, nil
}

// unixNano returns t in Unix nanoseconds, and 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}
