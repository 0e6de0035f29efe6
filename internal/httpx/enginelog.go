package httpx

import (
	"fmt"
	"log/slog"
)

// engineLog implements gnet's logging.Logger. It logs the event loop's info messages at debug level and its warnings at
// info level.
type engineLog struct{ log *slog.Logger }

// Debugf logs at debug level.
func (l engineLog) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }

// Infof logs at debug level.
func (l engineLog) Infof(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf logs at info level.
func (l engineLog) Warnf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Errorf logs at error level.
func (l engineLog) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf logs at error level. Unlike other implementations it does not end the process.
func (l engineLog) Fatalf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
