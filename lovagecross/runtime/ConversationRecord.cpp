#include "lovagecross/runtime/ConversationRecord.h"

#include "lovagecross/runtime/Digest.h"
#include "lovagecross/runtime/Json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Stringifier.h>
#include <sstream>
#include <vector>

namespace lovagecross {

namespace {

std::string messagesDigest(const std::vector<std::string>& messages, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += messages[i] + "\n";
    return sha256Hex(text);
}

// Returns the number of messages in the previous conversation if `messages` begins with all of them, else 0.
Result<std::size_t> commonMessageCount(const std::string& previous, const std::vector<std::string>& messages)
{
    if (previous.empty())
        return std::size_t(0);
    BOOST_LEAF_AUTO(record, parseJsonObject(previous));
    Poco::JSON::Array::Ptr kept = record->getArray("messages");
    BOOST_LEAF_AUTO(before, optionalNumber(*record, "messagesBefore", 0, 0, 1'000'000));
    BOOST_LEAF_AUTO(digest, optionalString(*record, "conversation", ""));
    std::size_t count = static_cast<std::size_t>(before) + (kept ? kept->size() : 0);
    if (count > messages.size() || messagesDigest(messages, count) != digest)
        return std::size_t(0);
    return count;
}

} // namespace

Result<std::string> recordedRequest(const std::string& previous, const std::string& body)
{
    BOOST_LEAF_AUTO(request, parseJsonObject(body));
    Poco::JSON::Array::Ptr messages = request->getArray("messages");
    if (!messages)
        return fail(ErrorCode::BadRequest, "messages", "must be an array");
    std::vector<std::string> texts;
    for (const auto& message : *messages) {
        std::ostringstream text;
        Poco::JSON::Stringifier::stringify(message, text);
        texts.push_back(text.str());
    }
    BOOST_LEAF_AUTO(commonMessages, commonMessageCount(previous, texts));
    Poco::JSON::Array::Ptr added = new Poco::JSON::Array;
    for (std::size_t i = commonMessages; i < messages->size(); ++i)
        added->add(messages->get(static_cast<unsigned int>(i)));
    request->set("messages", added);
    request->set("messagesBefore", commonMessages);
    request->set("conversation", messagesDigest(texts, texts.size()));
    return toJson(*request);
}

} // namespace lovagecross
