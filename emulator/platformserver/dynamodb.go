package platformserver

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/bronzeyard/bronzeyard/storage"
)

const (
	targetPrefix    = "DynamoDB_20120810."
	errorPrefix     = "com.amazonaws.dynamodb.v20120810#"
	maxItemsInQuery = 100 // forces clients to paginate with LastEvaluatedKey
)

// attribute is an attribute value. Exactly one field is set.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type attributes map[string]attribute

func (a attributes) text(name string) string {
	if value := a[name].S; value != nil {
		return *value
	}
	return ""
}

func (a attributes) key() storage.Key {
	return storage.Key{Partition: a.text("pk"), Sort: a.text("sk")}
}

type getItemRequest struct {
	TableName      string
	Key            attributes
	ConsistentRead bool
}

type queryRequest struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
	Limit                     int
}

type transactRequest struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, Delete, ConditionCheck *writeRequest }
}

type writeRequest struct {
	TableName                 string
	Item                      attributes
	Key                       attributes
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

// apiError is an error response of the DynamoDB API.
type apiError struct {
	status  int
	kind    string
	reasons []map[string]string
	message string
}

func (e *apiError) Error() string { return e.message }

func validationError(format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, kind: "ValidationException", message: fmt.Sprintf(format, args...)}
}

func (s *Server) dynamoDB(w http.ResponseWriter, r *http.Request) {
	operations := map[string]func(*http.Request) (any, error){
		"GetItem": s.getItem, "Query": s.query, "TransactWriteItems": s.transact,
	}
	name, _ := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	operation, ok := operations[name]
	var response any
	err := validationError("operation %q is not supported", name)
	if ok {
		response, err = operation(r)
	}
	var apiErr *apiError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, response)
	case errors.As(err, &apiErr):
		writeJSON(w, apiErr.status, map[string]any{
			"__type": errorPrefix + apiErr.kind, "message": apiErr.message, "CancellationReasons": apiErr.reasons,
		})
	case isUnavailable(err):
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{
			"__type": errorPrefix + "ServiceUnavailableException", "message": "outage",
		})
	default:
		abortConnection()
	}
}

func (s *Server) getItem(r *http.Request) (any, error) {
	var request getItemRequest
	if err := decodeStrictly(r.Body, &request); err != nil {
		return nil, validationError("%v", err)
	}
	if !request.ConsistentRead {
		return nil, validationError("only consistent reads are supported")
	}
	item, err := s.Table.Get(r.Context(), request.Key.key())
	if errors.Is(err, storage.ErrNotFound) {
		return map[string]any{}, nil
	}
	return map[string]any{"Item": encodeItem(item)}, err
}

func (s *Server) query(r *http.Request) (any, error) {
	var request queryRequest
	if err := decodeStrictly(r.Body, &request); err != nil {
		return nil, validationError("%v", err)
	}
	after := request.ExpressionAttributeValues.text(":after")
	expected := "pk = :pk AND sk > :after"
	if after == "" {
		expected = "pk = :pk"
	}
	if !request.ConsistentRead || request.Limit < 1 || request.KeyConditionExpression != expected {
		return nil, validationError("only consistent reads with a limit and %q are supported", expected)
	}
	after = max(after, request.ExclusiveStartKey.text("sk"))
	limit := min(request.Limit, maxItemsInQuery)
	items, err := s.Table.Query(r.Context(), request.ExpressionAttributeValues.text(":pk"), after, limit)
	if err != nil {
		return nil, err
	}
	encoded := make([]attributes, 0, len(items))
	for _, item := range items {
		encoded = append(encoded, encodeItem(item))
	}
	response := map[string]any{"Items": encoded, "Count": len(encoded)}
	if len(items) == limit {
		last := items[limit-1].Key
		response["LastEvaluatedKey"] = attributes{"pk": {S: &last.Partition}, "sk": {S: &last.Sort}}
	}
	return response, nil
}

func encodeItem(item storage.Item) attributes {
	version := strconv.FormatUint(item.Version, 10)
	value := append([]byte{}, item.Value...)
	return attributes{
		"pk": {S: &item.Key.Partition}, "sk": {S: &item.Key.Sort}, "value": {B: &value},
		"version": {N: &version}, "write_id": {S: &item.WriteID},
	}
}

func (s *Server) transact(r *http.Request) (any, error) {
	var request transactRequest
	if err := decodeStrictly(r.Body, &request); err != nil {
		return nil, validationError("%v", err)
	}
	writes, err := decodeWrites(&request)
	if err != nil {
		return nil, err
	}
	if request.ClientRequestToken != "" && s.hasAppliedToken(request.ClientRequestToken) {
		return map[string]any{}, nil
	}
	err = s.Table.Transact(r.Context(), writes)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return nil, canceled(len(writes), conflict.Index)
	}
	if err == nil || s.wasApplied(r, writes) {
		s.mu.Lock()
		s.tokens[request.ClientRequestToken] = true
		s.mu.Unlock()
	}
	return map[string]any{}, err
}

// hasAppliedToken reports whether a transaction with this ClientRequestToken was applied.
func (s *Server) hasAppliedToken(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[token]
}

// wasApplied reports whether a transaction was applied although the table returned an error, as for a lost response. It
// checks the first put; for a transaction without a put it returns false.
func (s *Server) wasApplied(r *http.Request, writes []storage.Write) bool {
	for i := range writes {
		if writes[i].Kind != storage.Put {
			continue
		}
		item, err := s.Table.Get(r.Context(), writes[i].Key)
		return err == nil && item.WriteID == writes[i].WriteID && item.Version == writes[i].Version
	}
	return false
}

func canceled(writes, index int) error {
	apiErr := &apiError{status: http.StatusBadRequest, kind: "TransactionCanceledException", message: "Transaction cancelled"}
	for i := range writes {
		code := "None"
		if i == index {
			code = "ConditionalCheckFailed"
		}
		apiErr.reasons = append(apiErr.reasons, map[string]string{"Code": code})
	}
	return apiErr
}

func decodeWrites(request *transactRequest) ([]storage.Write, error) {
	writes := make([]storage.Write, 0, len(request.TransactItems))
	for i, item := range request.TransactItems {
		var write storage.Write
		var err error
		switch {
		case item.Put != nil:
			write, err = decodeWrite(storage.Put, item.Put, item.Put.Item)
		case item.Delete != nil:
			write, err = decodeWrite(storage.Delete, item.Delete, item.Delete.Key)
		case item.ConditionCheck != nil:
			write, err = decodeWrite(storage.Check, item.ConditionCheck, item.ConditionCheck.Key)
		default:
			err = validationError("item %d has no supported operation", i)
		}
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}

func decodeWrite(kind storage.WriteKind, request *writeRequest, item attributes) (storage.Write, error) {
	condition, err := decodeCondition(request)
	if err != nil {
		return storage.Write{}, err
	}
	write := storage.Write{Kind: kind, Key: item.key(), Condition: condition}
	if write.Key.Partition == "" || write.Key.Sort == "" {
		return storage.Write{}, validationError("one of the required keys was not given a value")
	}
	if kind != storage.Put {
		return write, nil
	}
	write.WriteID = item.text("write_id")
	if value := item["value"].B; value != nil {
		write.Value = *value
	}
	write.Version, err = decodeVersion(item["version"])
	return write, err
}

func decodeVersion(value attribute) (uint64, error) {
	if value.N == nil {
		return 0, validationError("version is not a number")
	}
	version, err := strconv.ParseUint(*value.N, 10, 64)
	if err != nil {
		return 0, validationError("version: %v", err)
	}
	return version, nil
}

func decodeCondition(request *writeRequest) (storage.Condition, error) {
	switch request.ConditionExpression {
	case "":
		return storage.Condition{}, nil
	case "attribute_not_exists(pk)":
		return storage.Condition{Kind: storage.Absent}, nil
	case "#version = :version":
		if request.ExpressionAttributeNames["#version"] != "version" {
			return storage.Condition{}, validationError("the name #version is not that of the version")
		}
		version, err := decodeVersion(request.ExpressionAttributeValues[":version"])
		return storage.Condition{Kind: storage.VersionIs, Version: version}, err
	default:
		return storage.Condition{}, validationError("condition %q is not supported", request.ConditionExpression)
	}
}
