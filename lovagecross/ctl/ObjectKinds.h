#pragma once

// The kinds of objects that `get` and `describe` show: the admin path that lists them and the columns of their table.
//
// Thread safety: immutable data and free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/config/JsonNode.h"
#include "lovagecross/ctl/AdminClient.h"

#include <string_view>
#include <vector>

namespace lovagecross {

struct Column {
    std::string_view header;
    std::string_view key; // member of the object in the node's answer
    std::vector<std::string_view> parts {}; // if the cell is a list of objects: their members in the order to print
};

struct ObjectKind {
    std::string_view plural; // operand of `get`, and the key of the list in the answer
    std::string_view singular; // operand of `describe`
    std::string_view path;
    std::string_view nameKey;
    std::vector<Column> columns;
};

// Both return nullptr for an unknown name.
const ObjectKind* findKindByPlural(std::string_view plural);
const ObjectKind* findKindBySingular(std::string_view singular);

// Returns the objects that the node lists. Errors: those of AdminClient::get, and CtlFailure with Failed if the answer
// lacks the list.
Result<JsonArray> fetchObjects(AdminClient& client, const ObjectKind& kind);

} // namespace lovagecross
