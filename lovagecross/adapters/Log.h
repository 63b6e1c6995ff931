#pragma once

// Structured log lines with named fields, written through Boost.Log.
//
//     setUpLogging(settings.logLevel, settings.logFormat);
//     LogLine(LogLevel::Info, "placement").field("program", id).field("scoreMs", 12.5).write();
//
// writes `time=2026-12-04T04:10:00.123Z level=info event=placement program=lodz1-02-… scoreMs=12.5`. Values are
// escaped and truncated to maxLogValueBytes. Log identifiers, numbers and states; never log payloads or secrets.
//
// Thread safety: the functions may be called from any thread. A LogLine must not be shared between threads.

#include "lovagecross/config/Settings.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

inline constexpr std::size_t maxLogValueBytes = 256;
inline constexpr std::size_t maxLogFields = 40; // further fields are discarded

enum class LogTarget {
    StandardError, // unbuffered
    StandardOutput, // written by a separate thread from a bounded buffer, so that a slow reader never blocks a call
};

// Defaults without a call: level info, format key=value. Later calls change the level and the format; the target of the
// first call stays in effect.
void setUpLogging(LogLevel level, LogFormat format, LogTarget target = LogTarget::StandardError);

// Writes out the buffer of LogTarget::StandardOutput. Lines that did not fit into the buffer were dropped; a
// `log_dropped` line reports their number.
void flushLog();

class LogLine {
public:
    LogLine(LogLevel level, std::string_view event);

    LogLine& field(std::string_view name, std::string_view value);
    LogLine& field(std::string_view name, const char* value) { return this->field(name, std::string_view(value)); }
    LogLine& field(std::string_view name, const std::string& value)
    {
        return this->field(name, std::string_view(value));
    }
    LogLine& field(std::string_view name, bool value) { return this->addPlain(name, value ? "true" : "false"); }
    LogLine& field(std::string_view name, double value);
    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>) LogLine& field(std::string_view name, Integer value)
    {
        return this->addPlain(name, std::to_string(value));
    }

    // Does nothing if the line's level was below the configured level when it was constructed.
    void write() const;

    // Returns the line as `write` prints it, without the trailing newline.
    std::string toString(LogFormat format, std::int64_t unixMillis) const;

private:
    struct Field {
        std::string name;
        std::string value;
        bool text = true; // quoted in JSON
    };

    LogLine& addPlain(std::string_view name, std::string value);

    LogLevel level;
    bool enabled;
    std::vector<Field> fields;
};

} // namespace lovagecross
