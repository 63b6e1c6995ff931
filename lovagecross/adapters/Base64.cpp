#include "lovagecross/adapters/Base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <iterator>
#include <sstream>

namespace lovagecross {

std::string encodeBase64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    std::istringstream encoded(text);
    Poco::Base64Decoder decoder(encoded);
    try {
        // Reads the buffer directly: the stream's extraction operators swallow the decoder's exception and return a
        // truncated result.
        return std::string(std::istreambuf_iterator<char>(decoder), {});
    } catch (const Poco::DataFormatException&) {
        return std::nullopt;
    }
}

} // namespace lovagecross
