#include "lovagecross/ctl/ConfigurationFile.h"

#include "lovagecross/config/JsonReader.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/ExitCode.h"
#include "lovagecross/ctl/Output.h"

#include <fstream>
#include <limits>
#include <optional>
#include <utility>

namespace lovagecross {

namespace {

Result<std::string> readStream(const std::string& path, std::istream& in, std::size_t maxBytes)
{
    std::string text(maxBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (in.fail() && !in.eof()))
        return failWith(ExitCode::Failed, path + ": cannot be read");
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > maxBytes)
        return failWith(ExitCode::Failed, path + ": must have at most " + std::to_string(maxBytes) + " bytes");
    return text;
}

} // namespace

Result<std::string> readTextFile(const std::string& path, std::istream& in, std::size_t maxBytes)
{
    if (path == "-")
        return readStream("standard input", in, maxBytes);
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return failWith(ExitCode::Failed, path + ": cannot be opened");
    return readStream(path, file, maxBytes);
}

Result<Configuration> readConfigurationFile(const std::string& path, std::istream& in)
{
    BOOST_LEAF_AUTO(text, readTextFile(path, in, maxConfigurationBytes));
    std::string failure;
    Configuration configuration = handle([&] { return parseConfiguration(text); },
        [&](const Error& error) {
            failure = path + ": " + joinErrorText(error.field, error.message);
            return Configuration();
        });
    if (!failure.empty())
        return failWith(ExitCode::Failed, std::move(failure));
    return configuration;
}

Result<Configuration> configurationOf(const JsonNode& answer, std::string_view key)
{
    const JsonNode* document = findMember(answer, key);
    if (document == nullptr)
        return failWith(ExitCode::Failed, "the node's answer lacks " + std::string(key));
    bool none = std::holds_alternative<std::monostate>(document->value) || *document == JsonNode(JsonObject());
    if (none)
        return Configuration();
    return parseConfiguration(printJson(*document, JsonLayout::OneLine));
}

Result<std::uint64_t> versionOf(const JsonNode& answer, std::string_view key)
{
    std::uint64_t version = 0;
    JsonErrors errors;
    JsonReader reader(answer, {}, errors);
    reader.integer(key, version, { 0, std::numeric_limits<std::int64_t>::max() }, Presence::Required);
    if (auto read = errors.result(); !read)
        return read.error();
    return version;
}

Result<ConfigurationInForce> fetchConfiguration(AdminClient& client)
{
    BOOST_LEAF_AUTO(answer, client.get("/admin/config"));
    ConfigurationInForce inForce;
    BOOST_LEAF_ASSIGN(inForce.version, versionOf(answer, "version"));
    BOOST_LEAF_ASSIGN(inForce.configuration, configurationOf(answer, "config"));
    return inForce;
}

JsonNode linesNode(const std::vector<std::string>& lines)
{
    JsonArray array;
    for (const std::string& line : lines)
        array.push_back({ line });
    return { std::move(array) };
}

} // namespace lovagecross
