package bwlog

import (
	"encoding"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// timeFormat is that of hclog.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// linePool reuses the buffers of lines.
var linePool = sync.Pool{New: func() any { return new([]byte) }}

// logger writes the lines of hclog's JSON format, but appends the fields in their order instead of sorting a
// map of them, which takes most of the time of a line. Methods that write no line are those of hclog.
type logger struct {
	hclog.Logger
	out    io.Writer
	module string
	// fields are the encoded fields of With.
	fields []byte
}

// New returns a logger that writes JSON lines to w, one in each call of Write. The level is fixed.
func New(name string, level hclog.Level, w io.Writer) hclog.Logger {
	return &logger{
		Logger: hclog.New(&hclog.LoggerOptions{Name: name, Level: level, JSONFormat: true, Output: w}),
		out:    w,
		module: name,
	}
}

// Log implements hclog.Logger.
func (l *logger) Log(level hclog.Level, message string, args ...any) { l.write(level, message, args) }

// Trace implements hclog.Logger.
func (l *logger) Trace(message string, args ...any) { l.write(hclog.Trace, message, args) }

// Debug implements hclog.Logger.
func (l *logger) Debug(message string, args ...any) { l.write(hclog.Debug, message, args) }

// Info implements hclog.Logger.
func (l *logger) Info(message string, args ...any) { l.write(hclog.Info, message, args) }

// Warn implements hclog.Logger.
func (l *logger) Warn(message string, args ...any) { l.write(hclog.Warn, message, args) }

// Error implements hclog.Logger.
func (l *logger) Error(message string, args ...any) { l.write(hclog.Error, message, args) }

// With implements hclog.Logger.
func (l *logger) With(args ...any) hclog.Logger {
	fields := appendFields(append([]byte(nil), l.fields...), args)
	return &logger{Logger: l.Logger.With(args...), out: l.out, module: l.module, fields: fields}
}

// Named implements hclog.Logger.
func (l *logger) Named(name string) hclog.Logger {
	named := l.Logger.Named(name)
	return &logger{Logger: named, out: l.out, module: named.Name(), fields: l.fields}
}

// ResetNamed implements hclog.Logger.
func (l *logger) ResetNamed(name string) hclog.Logger {
	return &logger{Logger: l.Logger.ResetNamed(name), out: l.out, module: name, fields: l.fields}
}

func (l *logger) write(level hclog.Level, message string, args []any) {
	if level < l.GetLevel() {
		return
	}
	buffer := linePool.Get().(*[]byte)
	line := append((*buffer)[:0], `{"@level":"`...)
	line = append(line, level.String()...)
	line = append(line, `","@message":`...)
	line = appendString(line, message)
	line = append(line, `,"@module":`...)
	line = appendString(line, l.module)
	line = append(line, `,"@timestamp":"`...)
	line = time.Now().AppendFormat(line, timeFormat)
	line = append(line, '"')
	line = append(line, l.fields...)
	line = appendFields(line, args)
	line = append(line, '}', '\n')
	// A failure to write the log cannot be reported anywhere.
	_, _ = l.out.Write(line)
	*buffer = line
	linePool.Put(buffer)
}

// appendFields appends pairs of keys and values. A value without a key is appended under hclog's key for it.
func appendFields(line []byte, args []any) []byte {
	if len(args)%2 != 0 {
		args = append(args[:len(args)-1:len(args)-1], hclog.MissingKey, args[len(args)-1])
	}
	for i := 0; i < len(args); i += 2 {
		line = append(line, ',')
		key, ok := args[i].(string)
		if !ok {
			key = hclog.MissingKey
		}
		line = append(appendString(line, key), ':')
		line = appendValue(line, args[i+1])
	}
	return line
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case error:
		return appendString(line, v.Error())
	case encoding.TextMarshaler:
		if text, err := v.MarshalText(); err == nil {
			return appendString(line, string(text))
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return appendString(line, err.Error())
	}
	return append(line, data...)
}

// appendString appends a JSON string.
func appendString(line []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			// The encoding of a string cannot fail.
			data, _ := json.Marshal(s)
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"')
}
