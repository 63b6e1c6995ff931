#pragma once

// Reads the two configurations that `apply` and `diff` compare: the one in a file and the one in force on a node.
//
// Thread safety: free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/config/Configuration.h"
#include "lovagecross/config/JsonNode.h"
#include "lovagecross/ctl/AdminClient.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace lovagecross {

// Returns the text of a file, or of `in` if `path` is `-`. Errors: CtlFailure with Failed if it can't be read or is
// longer than `maxBytes`.
Result<std::string> readTextFile(const std::string& path, std::istream& in, std::size_t maxBytes);

// Errors: CtlFailure with Failed, its message prefixed by the file name, if the file can't be read or is not a valid
// configuration.
Result<Configuration> readConfigurationFile(const std::string& path, std::istream& in);

struct ConfigurationInForce {
    std::uint64_t version = 0; // 0 if no configuration was ever applied
    Configuration configuration;
};

Result<ConfigurationInForce> fetchConfiguration(AdminClient& client);

// Returns the configuration under `key` in an answer; null and {} give an empty configuration.
Result<Configuration> configurationOf(const JsonNode& answer, std::string_view key);

// Returns the version number under `key` in an answer.
Result<std::uint64_t> versionOf(const JsonNode& answer, std::string_view key);

JsonNode linesNode(const std::vector<std::string>& lines);

} // namespace lovagecross
