#include "lovagecross/ctl/Output.h"

#include <algorithm>
#include <cstdio>
#include <variant>

namespace lovagecross {

namespace {

constexpr std::size_t columnGap = 2;

void printRow(std::ostream& out, const std::vector<std::string>& row, const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += row[column];
        if (column + 1 < row.size())
            line.append(widths[column] + columnGap - row[column].size(), ' ');
    }
    out << line << '\n';
}

struct CellText {
    std::string operator()(std::monostate) const { return "-"; }
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
    std::string operator()(std::int64_t number) const { return std::to_string(number); }
    std::string operator()(std::uint64_t number) const { return std::to_string(number); }
    std::string operator()(double number) const
    {
        char buffer[32];
        int length = std::snprintf(buffer, sizeof(buffer), "%g", number);
        return std::string(buffer, static_cast<std::size_t>(length));
    }
    std::string operator()(const std::string& text) const { return printableText(text); }
    std::string operator()(const JsonArray& array) const
    {
        std::string joined;
        for (const JsonNode& element : array)
            joined.append(joined.empty() ? "" : ",").append(cellText(element));
        return joined.empty() ? "-" : joined;
    }
    std::string operator()(const JsonObject& object) const
    {
        std::string joined;
        for (const JsonMember& member : object)
            joined.append(joined.empty() ? "" : ":").append(cellText(member.node));
        return joined.empty() ? "-" : joined;
    }
};

} // namespace

void printTable(std::ostream& out, const Table& table)
{
    std::vector<std::size_t> widths(table.header.size(), 0);
    auto widen = [&](const std::vector<std::string>& row) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    };
    widen(table.header);
    for (const auto& row : table.rows)
        widen(row);
    printRow(out, table.header, widths);
    for (const auto& row : table.rows)
        printRow(out, row, widths);
}

void printMembers(std::ostream& out, const JsonNode& object)
{
    const auto* members = std::get_if<JsonObject>(&object.value);
    if (members == nullptr)
        return;
    std::size_t width = 0;
    for (const JsonMember& member : *members)
        width = std::max(width, member.key.size());
    for (const JsonMember& member : *members) {
        std::string key = printableText(member.key);
        key.resize(width + columnGap, ' ');
        out << key << cellText(member.node) << '\n';
    }
}

std::string cellText(const JsonNode& node)
{
    return std::visit(CellText(), node.value);
}

std::string joinErrorText(std::string_view field, std::string_view message)
{
    std::string text(field);
    return text.append(field.empty() ? "" : ": ").append(message);
}

} // namespace lovagecross
