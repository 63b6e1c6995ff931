#pragma once

// Settings of one daemon: a JSON file, validated as a whole at start and by `lovagecrossd --check-config`.
// Configuration that operators change while the system runs is in `Configuration.h`.
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/base/NameTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class LogFormat {
    KeyValue,
    Json,
};

inline constexpr NameTable<LogFormat, 2> logFormatNames { { {
    { LogFormat::KeyValue, "keyvalue" },
    { LogFormat::Json, "json" },
} } };

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr NameTable<LogLevel, 4> logLevelNames { { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} } };

struct Settings {
    std::string node; // satisfies isValidName; unique in the data centre
    std::string dataCentre; // satisfies isValidName
    std::string callerAddress; // IP:port of the listener for callers
    std::string adminAddress; // IP:port of the listener for operators
    std::string peerAddress; // IP:port of the listener for other nodes
    std::string platformAddress; // IP:port of the object API
    std::vector<std::string> seeds; // peer addresses of other nodes
    std::uint32_t shards = 4; // number of shards in the data centre, 1 to 100; must be the same on all its nodes
    std::string dataFolder; // empty: nothing is stored on disk
    std::string adminTokenFile; // empty: the listener for operators requires no token
    std::string peerKeyFile; // empty: peers are not authenticated
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::KeyValue;
    std::uint64_t leaseMillis = 4000; // 500 to 5000
    std::uint64_t promiseIntervalMillis = 1000; // at most leaseMillis / 3
    std::uint64_t horizonMillis = 600000; // at least 3 * leaseMillis
    std::uint64_t minCommitIntervalMillis = 250; // 0 to 5000
    std::uint64_t bridgeBytes = 16 * 1024 * 1024; // 0 disables the bridge
    std::uint64_t bridgeFetchMillis = 30000;
    std::uint64_t gossipIntervalMillis = 1000;
    std::uint64_t configPollMillis = 10000;
    std::uint64_t streamProgressMillis = 5000;
    std::uint64_t auditIntervalMillis = 30000;
    std::uint64_t drainMillis = 30000; // maximum time that a graceful shutdown waits for running calls
    std::uint32_t maxConnections = 512;
    std::uint32_t memoryMegabytes = 512; // memory that the process may use
    std::uint32_t maxBodyBytes = 768 * 1024; // body of a caller's request; fits 150,000 tokens of 4 bytes plus JSON
};

// Errors: BadRequest with the field's path and the limit: unknown key, wrong type, out of range, duplicate, missing, or
// an address that is not an IP and port.
Result<Settings> parseSettings(std::string_view json);
std::string printSettings(const Settings& settings);

} // namespace lovagecross
