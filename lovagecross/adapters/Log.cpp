#include "lovagecross/adapters/Log.h"

#include "lovagecross/base/Clock.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace lovagecross {

namespace {

namespace logging = boost::log;
using StreamSink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

std::atomic<LogLevel> currentLevel { LogLevel::Info };
std::atomic<LogFormat> currentFormat { LogFormat::KeyValue };

// Collects lines in memory. A thread writes them to standard output at each flush interval, so that a line needs no
// system call of its own and a stalled reader of standard output blocks no caller.
class BufferedOutput {
public:
    BufferedOutput()
        : writer([this] { this->run(); })
    {
    }
    ~BufferedOutput()
    {
        {
            std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        this->writer.join();
    }
    BufferedOutput(const BufferedOutput&) = delete;
    BufferedOutput& operator=(const BufferedOutput&) = delete;

    void add(const std::string& line)
    {
        std::lock_guard lock(this->mutex);
        if (this->buffer.size() + line.size() > maxBufferedBytes) {
            ++this->dropped;
            return;
        }
        this->buffer += line;
        this->buffer += '\n';
    }

    void flush()
    {
        std::lock_guard writeLock(this->writeMutex);
        std::string lines;
        {
            std::lock_guard lock(this->mutex);
            lines.swap(this->buffer);
            if (this->dropped > 0)
                lines += R"({"level":"warning","event":"log_dropped","lines":)" + std::to_string(this->dropped) + "}\n";
            this->dropped = 0;
        }
        std::string_view rest = lines;
        while (!rest.empty()) {
            ssize_t count = ::write(STDOUT_FILENO, rest.data(), rest.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return;
            rest.remove_prefix(static_cast<std::size_t>(count));
        }
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            this->wake.wait_for(lock, flushInterval, [this] { return this->stopping; });
            lock.unlock();
            this->flush();
            lock.lock();
        }
    }

    static constexpr std::size_t maxBufferedBytes = 512 * 1024;
    static constexpr std::chrono::milliseconds flushInterval { 100 };

    std::mutex mutex;
    std::mutex writeMutex; // prevents concurrent flushes from interleaving lines; locked before `mutex`
    std::condition_variable wake;
    std::string buffer;
    std::size_t dropped = 0;
    bool stopping = false;
    std::thread writer;
};

BufferedOutput& bufferedOutput()
{
    static BufferedOutput output;
    return output;
}

class BufferedSinkBackend : public logging::sinks::basic_formatted_sink_backend<char> {
public:
    void consume(const logging::record_view&, const string_type& line) { bufferedOutput().add(line); }
};

std::atomic<bool> buffered { false };

void installSink(LogTarget target)
{
    if (target == LogTarget::StandardOutput) {
        buffered = true;
        auto sink = boost::make_shared<logging::sinks::synchronous_sink<BufferedSinkBackend>>();
        sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
        logging::core::get()->add_sink(sink);
        return;
    }
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<StreamSink>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void installSinkOnce(LogTarget target)
{
    static std::once_flag once;
    std::call_once(once, installSink, target);
}

std::string formatTime(std::int64_t unixMillis)
{
    std::time_t seconds = unixMillis / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::size_t length = std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
    char millis[8];
    std::snprintf(millis, sizeof(millis), ".%03dZ", static_cast<int>(unixMillis % 1000));
    return std::string(date, length) + millis;
}

// Escapes quotes, backslashes, control characters and bytes above 0x7e, so that a value can't inject a field or a line.
std::string escape(std::string_view value)
{
    std::string escaped;
    for (char character : value) {
        auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            escaped += '\\';
            escaped += character;
        } else if (byte < 0x20 || byte >= 0x7f) {
            char buffer[8];
            std::snprintf(buffer, sizeof(buffer), "\\u%04x", byte);
            escaped += buffer;
        } else {
            escaped += character;
        }
    }
    return escaped;
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (char character : value) {
        auto byte = static_cast<unsigned char>(character);
        if (byte <= 0x20 || byte >= 0x7f || character == '"' || character == '\\' || character == '=')
            return true;
    }
    return false;
}

} // namespace

void setUpLogging(LogLevel level, LogFormat format, LogTarget target)
{
    currentLevel = level;
    currentFormat = format;
    installSinkOnce(target);
}

void flushLog()
{
    if (buffered)
        bufferedOutput().flush();
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : level(level)
    , enabled(level >= currentLevel.load(std::memory_order_relaxed))
{
    this->field("event", event);
}

LogLine& LogLine::field(std::string_view name, std::string_view value)
{
    if (!this->enabled || this->fields.size() >= maxLogFields)
        return *this;
    std::string kept(value.substr(0, maxLogValueBytes));
    if (kept.size() < value.size())
        kept += "...";
    this->fields.push_back({ std::string(name), std::move(kept), true });
    return *this;
}

LogLine& LogLine::field(std::string_view name, double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof(buffer), "%.6g", value);
    if (!std::isfinite(value)) // JSON can't represent NaN or infinity as a number
        return this->field(name, std::string_view(buffer));
    return this->addPlain(name, buffer);
}

LogLine& LogLine::addPlain(std::string_view name, std::string value)
{
    if (this->enabled && this->fields.size() < maxLogFields)
        this->fields.push_back({ std::string(name), std::move(value), false });
    return *this;
}

std::string LogLine::toString(LogFormat format, std::int64_t unixMillis) const
{
    std::string time = formatTime(unixMillis);
    std::string levelName(logLevelNames.name(this->level));
    if (format == LogFormat::Json) {
        std::string line = R"({"time":")" + time + R"(","level":")" + levelName + '"';
        for (const Field& field : this->fields) {
            std::string value = field.text ? '"' + escape(field.value) + '"' : field.value;
            line += ",\"" + escape(field.name) + "\":" + value;
        }
        return line + "}";
    }
    std::string line = "time=" + time + " level=" + levelName;
    for (const Field& field : this->fields) {
        bool quoted = field.text && needsQuotes(field.value);
        line += ' ' + field.name + '=' + (quoted ? '"' + escape(field.value) + '"' : field.value);
    }
    return line;
}

void LogLine::write() const
{
    if (!this->enabled)
        return;
    installSinkOnce(LogTarget::StandardError);
    std::string text = this->toString(currentFormat.load(std::memory_order_relaxed), SystemClock().unixMillis());
    logging::sources::logger logger;
    if (logging::record record = logger.open_record()) {
        logging::record_ostream stream(record);
        stream << text;
        stream.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace lovagecross
