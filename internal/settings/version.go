package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// versionDigits is the length of a version in hexadecimal digits.
const versionDigits = 12

// Version returns an identifier for the content of limits and settings: the first digits of the SHA-256
// hash of both in one JSON object with sorted keys and without white space. Limits may be empty.
func Version(limits, settings json.RawMessage) (string, error) {
	content := map[string]any{}
	for key, data := range map[string]json.RawMessage{"limits": limits, "settings": settings} {
		if len(data) == 0 {
			continue
		}
		value, err := decodeExactly(data)
		if err != nil {
			return "", fmt.Errorf("version of %s: %w", key, err)
		}
		content[key] = value
	}
	canonical, err := encodeCanonically(content)
	if err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])[:versionDigits], nil
}

// decodeExactly decodes a JSON value and keeps its numbers as they are written.
func decodeExactly(data json.RawMessage) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}

// encodeCanonically encodes a JSON value with sorted keys, without white space and without HTML escapes.
func encodeCanonically(value any) ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), nil
}
