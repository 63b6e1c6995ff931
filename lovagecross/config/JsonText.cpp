#include "lovagecross/config/JsonText.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <istream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace lovagecross {

namespace {

// Thrown by the handler to abort parsing, which Poco offers no other way to do; parseJson converts it to an Error.
class RefusedDocument : public std::runtime_error {
public:
    RefusedDocument(std::string refusedPath, const std::string& message)
        : std::runtime_error(message)
        , path(std::move(refusedPath))
    {
    }

    std::string path;
};

class NodeBuilder final : public Poco::JSON::Handler {
public:
    explicit NodeBuilder(std::size_t maxKeysOfObject)
        : maxKeys(maxKeysOfObject)
    {
    }

    void reset() override { }
    void startObject() override { this->open({ JsonObject {} }); }
    void endObject() override { this->containers.pop_back(); }
    void startArray() override { this->open({ JsonArray {} }); }
    void endArray() override { this->containers.pop_back(); }

    void key(const std::string& name) override
    {
        auto& object = std::get<JsonObject>(this->containers.back()->value);
        bool known = std::any_of(object.begin(), object.end(), [&](const auto& member) { return member.key == name; });
        object.push_back({ name, {} });
        if (known)
            throw RefusedDocument(this->currentPath(), "is given twice in one object");
        if (object.size() > this->maxKeys)
            throw RefusedDocument(
                this->currentPath(), "an object must have at most " + std::to_string(this->maxKeys) + " keys");
    }

    void null() override { this->add({}); }
    void value(int number) override { this->add({ std::int64_t { number } }); }
    void value(unsigned number) override { this->add({ std::int64_t { number } }); }
    void value(Poco::Int64 number) override { this->add({ std::int64_t { number } }); }
    void value(Poco::UInt64 number) override
    {
        if (std::in_range<std::int64_t>(number))
            this->add({ static_cast<std::int64_t>(number) });
        else
            this->add({ std::uint64_t { number } });
    }
    void value(double number) override { this->add({ number }); }
    void value(bool flag) override { this->add({ flag }); }
    void value(const std::string& text) override { this->add({ text }); }

    JsonNode take() { return std::move(this->root); }

    // Returns the path of the value that is being parsed.
    std::string currentPath() const
    {
        std::string path;
        for (const JsonNode* container : this->containers) {
            if (const auto* object = std::get_if<JsonObject>(&container->value))
                path = object->empty() ? path : joinPath(path, object->back().key);
            else if (const auto& array = std::get<JsonArray>(container->value); container == this->containers.back())
                path = joinPath(path, array.size());
            else
                path = joinPath(path, array.size() - 1);
        }
        return path;
    }

private:
    JsonNode& add(JsonNode node)
    {
        if (this->containers.empty())
            throw RefusedDocument({}, "must be an object or a list");
        JsonNode& container = *this->containers.back();
        if (auto* array = std::get_if<JsonArray>(&container.value))
            return array->emplace_back(std::move(node));
        JsonNode& member = std::get<JsonObject>(container.value).back().node;
        member = std::move(node);
        return member;
    }

    void open(JsonNode node)
    {
        if (!this->containers.empty()) {
            this->containers.push_back(&this->add(std::move(node)));
            return;
        }
        this->root = std::move(node);
        this->containers.push_back(&this->root);
    }

    std::size_t maxKeys;
    JsonNode root;
    std::vector<JsonNode*>
        containers; // open containers, outermost first; none grows while a child is open, so pointers stay valid
};

std::string describePosition(std::string_view document, std::size_t offset)
{
    std::string_view before = document.substr(0, std::min(offset, document.size()));
    auto line = 1 + std::count(before.begin(), before.end(), '\n');
    std::size_t lastBreak = before.rfind('\n');
    std::size_t column = lastBreak == std::string_view::npos ? before.size() : before.size() - lastBreak - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column) + " (byte "
        + std::to_string(before.size()) + ")";
}

// Records how far the parser has read and whether it tried to read past the end. The end-of-file flag of the stream
// doesn't tell: Poco reads the buffer directly.
class DocumentBuffer final : public std::stringbuf {
public:
    explicit DocumentBuffer(const std::string& document)
        : std::stringbuf(document, std::ios::in)
    {
    }

    std::size_t offset()
    {
        std::streamoff position = this->pubseekoff(0, std::ios::cur, std::ios::in);
        return static_cast<std::size_t>(std::max<std::streamoff>(0, position));
    }

    bool reachedEnd = false;

protected:
    int_type underflow() override
    {
        this->reachedEnd = true;
        return std::stringbuf::underflow();
    }
};

std::string describeSyntaxError(std::string_view document, DocumentBuffer& buffer, const std::string& reason)
{
    if (buffer.reachedEnd)
        return "JSON ends too early at " + describePosition(document, document.size());
    // Poco only peeks at text after the end of the document, but consumes any other byte that it rejects.
    if (reason.find("Excess") != std::string::npos)
        return "text after the end of the JSON document at " + describePosition(document, buffer.offset() + 1);
    // The reason may quote the invalid byte, which may be a control character or part of a UTF-8 sequence.
    return "not valid JSON at " + describePosition(document, buffer.offset()) + ": " + printableText(reason);
}

Poco::Dynamic::Var toPoco(const JsonNode& node);

Poco::JSON::Array toPocoArray(const JsonArray& array)
{
    Poco::JSON::Array result;
    for (const JsonNode& element : array)
        result.add(toPoco(element));
    return result;
}

Poco::JSON::Object toPocoObject(const JsonObject& object)
{
    Poco::JSON::Object result(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const JsonMember& member : object)
        result.set(member.key, toPoco(member.node));
    return result;
}

struct ToPoco {
    Poco::Dynamic::Var operator()(std::monostate) const { return {}; }
    Poco::Dynamic::Var operator()(const JsonArray& array) const { return toPocoArray(array); }
    Poco::Dynamic::Var operator()(const JsonObject& object) const { return toPocoObject(object); }
    Poco::Dynamic::Var operator()(std::int64_t number) const { return Poco::Int64(number); }
    Poco::Dynamic::Var operator()(std::uint64_t number) const { return Poco::UInt64(number); }
    template <typename Scalar> Poco::Dynamic::Var operator()(const Scalar& scalar) const { return scalar; }
};

Poco::Dynamic::Var toPoco(const JsonNode& node)
{
    return std::visit(ToPoco(), node.value);
}

} // namespace

Result<JsonNode> parseJson(std::string_view document, const JsonLimits& limits)
{
    if (document.size() > limits.maxBytes)
        return fail(ErrorCode::TooLarge, {},
            "document has " + std::to_string(document.size()) + " bytes, must be at most "
                + std::to_string(limits.maxBytes));
    DocumentBuffer buffer { std::string(document) };
    std::istream in(&buffer);
    Poco::SharedPtr<NodeBuilder> builder = new NodeBuilder(limits.maxKeys);
    try {
        Poco::JSON::Parser parser(builder);
        parser.setDepth(limits.maxDepth);
        parser.parse(in);
        return builder->take();
    } catch (const RefusedDocument& refused) {
        return fail(ErrorCode::BadRequest, refused.path, refused.what());
    } catch (const Poco::SyntaxException&) {
        return fail(ErrorCode::BadRequest, builder->currentPath(), "number does not fit into 64 bits");
    } catch (const Poco::Exception& error) {
        return fail(ErrorCode::BadRequest, {}, describeSyntaxError(document, buffer, error.message()));
    }
}

std::string printJson(const JsonNode& node, JsonLayout layout)
{
    constexpr unsigned spaces = 2;
    unsigned indent = layout == JsonLayout::Indented ? spaces : 0;
    std::ostringstream out;
    if (const auto* array = std::get_if<JsonArray>(&node.value))
        toPocoArray(*array).stringify(out, indent);
    else if (const auto* object = std::get_if<JsonObject>(&node.value))
        toPocoObject(*object).stringify(out, indent);
    return out.str();
}

} // namespace lovagecross
