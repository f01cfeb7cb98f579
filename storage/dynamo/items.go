package dynamo

import (
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/bronzeyard/bronzeyard/storage"
)

// ErrMalformedItem means that a stored item lacks an attribute or has one of another type.
var ErrMalformedItem = errors.New("dynamo: malformed item")

func decodeItem(attributes map[string]types.AttributeValue) (storage.Item, error) {
	partition, ok1 := attributes[attributePartition].(*types.AttributeValueMemberS)
	sort, ok2 := attributes[attributeSort].(*types.AttributeValueMemberS)
	value, ok3 := attributes[attributeValue].(*types.AttributeValueMemberB)
	version, ok4 := attributes[attributeVersion].(*types.AttributeValueMemberN)
	writeID, ok5 := attributes[attributeWriteID].(*types.AttributeValueMemberS)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return storage.Item{}, ErrMalformedItem
	}
	number, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return storage.Item{}, fmt.Errorf("%w: version: %w", ErrMalformedItem, err)
	}
	return storage.Item{
		Key: storage.Key{Partition: partition.Value, Sort: sort.Value}, Value: value.Value, Version: number, WriteID: writeID.Value,
	}, nil
}

// transaction builds the request. It checks the limits before anything is sent, so that exceeding them is not reported as an
// unknown outcome.
func (t *Table) transaction(writes []storage.Write) (*dynamodb.TransactWriteItemsInput, error) {
	if len(writes) == 0 || len(writes) > storage.MaxWritesInTransaction {
		return nil, fmt.Errorf("dynamo: transaction must have 1 to %d writes, got %d", storage.MaxWritesInTransaction, len(writes))
	}
	input := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(rand.Text())}
	for i := range writes {
		write := &writes[i]
		if len(write.Value) > storage.MaxValueBytes {
			return nil, fmt.Errorf("dynamo: value of %s/%s has %d bytes, at most %d are allowed",
				write.Key.Partition, write.Key.Sort, len(write.Value), storage.MaxValueBytes)
		}
		item, err := t.writeItem(write)
		if err != nil {
			return nil, err
		}
		input.TransactItems = append(input.TransactItems, item)
	}
	return input, nil
}

func (t *Table) writeItem(write *storage.Write) (types.TransactWriteItem, error) {
	condition, names, values := conditionOf(write.Condition)
	switch write.Kind {
	case storage.Put:
		attributes := keyAttributes(write.Key)
		attributes[attributeValue] = &types.AttributeValueMemberB{Value: append([]byte{}, write.Value...)}
		attributes[attributeVersion] = number(write.Version)
		attributes[attributeWriteID] = text(write.WriteID)
		return types.TransactWriteItem{Put: &types.Put{
			TableName: &t.name, Item: attributes, ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	case storage.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.name, Key: keyAttributes(write.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	case storage.Check:
		if condition == nil {
			return types.TransactWriteItem{}, errors.New("dynamo: check without a condition")
		}
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &t.name, Key: keyAttributes(write.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	default:
		return types.TransactWriteItem{}, fmt.Errorf("dynamo: unknown write kind %d", write.Kind)
	}
}

// conditionOf returns the condition expression with its names and values; nil for storage.Always.
func conditionOf(c storage.Condition) (*string, map[string]string, map[string]types.AttributeValue) {
	switch c.Kind {
	case storage.Absent:
		return aws.String("attribute_not_exists(pk)"), nil, nil
	case storage.VersionIs:
		return aws.String("#version = :version"),
			map[string]string{"#version": attributeVersion},
			map[string]types.AttributeValue{":version": number(c.Version)}
	default:
		return nil, nil, nil
	}
}
