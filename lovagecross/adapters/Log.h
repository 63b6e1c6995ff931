#pragma once

// Log lines with named fields, written through Boost.Log.
//
//     setUpLogging(settings.logLevel, settings.logFormat);
//     LogLine(LogLevel::Info, "placement").field("program", id).field("scoreMs", 12.5).write();
//
// gives `time=2026-12-04T04:10:00.123Z level=info event=placement program=lodz1-02-… scoreMs=12.5`. Values are escaped
// and cut at maxLogValueBytes. Log identifiers, figures and states, never payloads or secrets.
//
// Thread safety: any thread; one LogLine belongs to one thread.

#include "lovagecross/config/Settings.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

inline constexpr std::size_t maxLogValueBytes = 256;
inline constexpr std::size_t maxLogFields = 32; // further fields are left out

enum class LogTarget {
    StandardError, // each line at once
    StandardOutput, // from a bounded buffer by a thread of its own: a slow reader never blocks a call
};

// May be called again to change level and format. Without a call: info, key=value. The target of the first call holds.
void setUpLogging(LogLevel level, LogFormat format, LogTarget target = LogTarget::StandardError);

// Writes what the buffer of LogTarget::StandardOutput holds. Lines that found it full were dropped; a line
// `log_dropped` tells how many.
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

    // Does nothing when the level is below the one set up.
    void write() const;

    // The line as `write` prints it, without a line end.
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
