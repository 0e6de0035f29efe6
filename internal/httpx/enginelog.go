package httpx

import (
	"fmt"
	"log/slog"
)

// engineLog logs the event loop's own messages, most of them one level lower. It is gnet's logging.Logger.
type engineLog struct{ log *slog.Logger }

// Debugf logs at debug level.
func (l engineLog) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }

// Infof logs at debug level.
func (l engineLog) Infof(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf logs at info level.
func (l engineLog) Warnf(format string, args ...any) { l.log.Info(fmt.Sprintf(format, args...)) }

// Errorf logs at error level.
func (l engineLog) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf logs at error level; the process goes on.
func (l engineLog) Fatalf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
