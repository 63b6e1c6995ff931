#pragma once

// Text output of lovagectl. Control characters in text from a node are replaced before it is printed.
//
// Thread safety: free functions without state.

#include "lovagecross/config/JsonNode.h"

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct Table {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows; // each row has one cell for each header cell
};

// Prints left-aligned columns, separated by at least two spaces.
void printTable(std::ostream& out, const Table& table);

// Prints one `key  value` line for each member of an object.
void printMembers(std::ostream& out, const JsonNode& object);

// Formats one table cell: scalars unquoted, list elements joined by `,`, values of an object joined by `:`, and `-` for
// null, an empty list or an empty object.
std::string cellText(const JsonNode& node);

// Returns `field: message`, or only the message if the field is empty.
std::string joinErrorText(std::string_view field, std::string_view message);

} // namespace lovagecross
