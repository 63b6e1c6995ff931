#pragma once

// Delta encoding of chat-completions requests for a program's history. Callers send the whole conversation with each
// call; a record stores only the messages added since the previous record, so that the history grows linearly and not
// quadratically with the conversation.
//
//     std::string record = recordedRequest(previousRecorded, body);
//     // {"conversation":"<digest>","max_tokens":8,"messages":[new ones],"messagesBefore":4,"model":"m1"}
//
// Thread safety: free functions.

#include "lovagecross/base/Error.h"

#include <string>

namespace lovagecross {

// `previous` is the record of the program's previous model call, or empty. The record contains the messages from index
// `messagesBefore` on, which is 0 unless `body` begins with exactly the messages of the previous conversation. Errors:
// BadRequest for a body without messages.
Result<std::string> recordedRequest(const std::string& previous, const std::string& body);

} // namespace lovagecross
