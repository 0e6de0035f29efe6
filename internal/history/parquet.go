package history

import (
	"fmt"
	"os"

	"github.com/parquet-go/parquet-go"
)

// temporarySuffix names the file that is written before it replaces the one asked for.
const temporarySuffix = ".part"

// Write writes a history to a file in the Parquet format, whole or not at all.
func Write(path string, events []Event) error {
	temporary := path + temporarySuffix
	if err := parquet.WriteFile(temporary, events, parquet.Compression(&parquet.Zstd)); err != nil {
		os.Remove(temporary) //nolint:errcheck // the first error counts
		return fmt.Errorf("writing the history: %w", err)
	}
	return os.Rename(temporary, path)
}

// Read reads a history that Write has written.
func Read(path string) ([]Event, error) {
	events, err := parquet.ReadFile[Event](path)
	if err != nil {
		return nil, fmt.Errorf("reading the history: %w", err)
	}
	return events, nil
}
