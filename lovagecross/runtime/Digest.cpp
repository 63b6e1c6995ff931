#include "lovagecross/runtime/Digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace lovagecross {

std::string sha256Hex(std::string_view text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace lovagecross
