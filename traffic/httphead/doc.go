// Package httphead checks the heads of HTTP messages for faults that net/http accepts. A message with such a fault may have had another
// meaning for its sender: a body of another length, or a field that readers ignore.
package httphead
