#pragma once

// A plain blocking HTTP client for tests of processes. Each request uses a connection of its own.
//
//     HttpAnswer answer = httpRequest("GET", "http://127.0.0.1:4000/objects/a");
//     CPPUNIT_ASSERT_EQUAL(200, answer.status);
//
// Thread safety: free functions; each call may run on any thread.

#include "lovagecross/base/Clock.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lovagecross::testing {

struct CompareIgnoringCase {
    bool operator()(const std::string& left, const std::string& right) const;
};

using HttpHeaders = std::map<std::string, std::string, CompareIgnoringCase>;

struct HttpAnswer {
    int status = 0; // 0: no answer came
    HttpHeaders headers;
    std::string body; // what has arrived, also when the connection was lost in the middle
    std::string error; // why there is no answer, or no complete one; empty when the answer is complete
};

inline constexpr Duration defaultHttpTimeout = std::chrono::seconds(10);

// `timeout` limits the whole request. A chunked body that ends early counts as complete, because POCO does not tell
// the difference; a test of streams looks for the stream's own end marker.
HttpAnswer httpRequest(const std::string& method, const std::string& url, const std::string& body = {},
    const HttpHeaders& headers = {}, Duration timeout = defaultHttpTimeout);

// Like `httpRequest`, and passes each piece of a 200 answer's body to `onChunk` as it arrives. Closes the connection
// when `onChunk` returns false.
HttpAnswer httpStream(const std::string& method, const std::string& url, const std::string& body,
    const HttpHeaders& headers, Duration timeout, const std::function<bool(std::string_view chunk)>& onChunk);

} // namespace lovagecross::testing
