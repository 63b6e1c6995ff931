// BudgetState: JSON serialization, validation and changes.
#include "lovagecross/budget/SharedBudget.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::size_t maxTextLength = 128; // limit for names and operation ids

boost::leaf::error_id corrupt(const std::string& field, const std::string& what)
{
    return fail(ErrorCode::CorruptData, field, what);
}

std::uint64_t grantedTokens(const BudgetState& budget)
{
    std::uint64_t sum = 0;
    for (const BudgetSlice& slice : budget.slices)
        sum += slice.grantedTokens;
    return sum;
}

Result<std::string> readText(const Poco::JSON::Object& object, const std::string& key, const std::string& path)
{
    Poco::Dynamic::Var value = object.get(key);
    if (!value.isString())
        return corrupt(path + key, "must be a string");
    std::string text = value.extract<std::string>();
    if (text.size() > maxTextLength)
        return corrupt(path + key, "is longer than " + std::to_string(maxTextLength) + " characters");
    return text;
}

std::optional<std::int64_t> toInteger(const Poco::Dynamic::Var& value)
{
    try {
        return value.convert<std::int64_t>();
    } catch (const Poco::Exception&) {
        return std::nullopt; // out of range
    }
}

Result<std::uint64_t> readNumber(
    const Poco::JSON::Object& object, const std::string& key, const std::string& path, std::uint64_t maxValue)
{
    Poco::Dynamic::Var value = object.get(key);
    if (!value.isInteger() || value.isBoolean())
        return corrupt(path + key, "must be a whole number");
    std::optional<std::int64_t> number = toInteger(value);
    if (!number || *number < 0 || static_cast<std::uint64_t>(*number) > maxValue)
        return corrupt(path + key, "must be between 0 and " + std::to_string(maxValue));
    return static_cast<std::uint64_t>(*number);
}

Result<BudgetSlice> readSlice(const Poco::JSON::Object& object, const std::string& path)
{
    constexpr std::uint64_t maxEpoch = std::uint64_t(1) << 62;
    BudgetSlice slice;
    BOOST_LEAF_ASSIGN(slice.holder, readText(object, "holder", path));
    BOOST_LEAF_ASSIGN(slice.epoch, readNumber(object, "epoch", path, maxEpoch));
    BOOST_LEAF_ASSIGN(slice.grantedTokens, readNumber(object, "grantedTokens", path, maxBudgetTokens));
    BOOST_LEAF_ASSIGN(slice.wantedTokens, readNumber(object, "wantedTokens", path, maxBudgetTokens));
    BOOST_LEAF_ASSIGN(slice.lastOperation, readText(object, "lastOperation", path));
    return slice;
}

Result<std::vector<BudgetSlice>> readSlices(const Poco::JSON::Object& object)
{
    Poco::JSON::Array::Ptr array = object.getArray("slices");
    if (!array)
        return corrupt("slices", "must be a list");
    if (array->size() > maxBudgetSlices)
        return corrupt("slices", "has more than " + std::to_string(maxBudgetSlices) + " entries");
    std::vector<BudgetSlice> slices;
    std::set<std::string> holders;
    for (unsigned i = 0; i < array->size(); ++i) {
        std::string path = "slices[" + std::to_string(i) + "]";
        Poco::JSON::Object::Ptr entry = array->getObject(i);
        if (!entry)
            return corrupt(path, "must be an object");
        BOOST_LEAF_AUTO(slice, readSlice(*entry, path + "."));
        if (!holders.insert(slice.holder).second)
            return corrupt(path + ".holder", "holder " + slice.holder + " has two slices");
        slices.push_back(std::move(slice));
    }
    return slices;
}

Result<BudgetState> readBudget(const Poco::JSON::Object& object)
{
    constexpr std::uint64_t maxUnixMillis = std::uint64_t(1) << 53;
    BudgetState budget;
    BOOST_LEAF_ASSIGN(budget.name, readText(object, "name", ""));
    BOOST_LEAF_ASSIGN(budget.totalTokens, readNumber(object, "totalTokens", "", maxBudgetTokens));
    BOOST_LEAF_AUTO(expires, readNumber(object, "expiresUnixMillis", "", maxUnixMillis));
    budget.expiresUnixMillis = static_cast<std::int64_t>(expires);
    BOOST_LEAF_ASSIGN(budget.slices, readSlices(object));
    return budget;
}

Poco::JSON::Object::Ptr parseObject(std::string_view json)
{
    try {
        constexpr std::size_t maxDepth = 8;
        Poco::JSON::Parser parser;
        parser.setDepth(maxDepth);
        return parser.parse(std::string(json)).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

} // namespace

std::string budgetKey(std::string_view name)
{
    return "budgets/" + std::string(name);
}

std::string printBudget(const BudgetState& budget)
{
    Poco::JSON::Array slices;
    for (const BudgetSlice& slice : budget.slices) {
        Poco::JSON::Object entry;
        entry.set("holder", slice.holder);
        entry.set("epoch", slice.epoch);
        entry.set("grantedTokens", slice.grantedTokens);
        entry.set("wantedTokens", slice.wantedTokens);
        entry.set("lastOperation", slice.lastOperation);
        slices.add(entry);
    }
    Poco::JSON::Object object;
    object.set("name", budget.name);
    object.set("totalTokens", budget.totalTokens);
    object.set("expiresUnixMillis", budget.expiresUnixMillis);
    object.set("slices", slices);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Result<BudgetState> parseBudget(std::string_view json)
{
    if (json.size() > maxObjectBytes)
        return corrupt("", "budget is larger than " + std::to_string(maxObjectBytes) + " bytes");
    Poco::JSON::Object::Ptr object = parseObject(json);
    if (!object)
        return corrupt("", "budget is not a JSON object");
    return readBudget(*object);
}

const BudgetSlice* findSlice(const BudgetState& budget, std::string_view holder)
{
    auto found = std::find_if(
        budget.slices.begin(), budget.slices.end(), [&](const BudgetSlice& slice) { return slice.holder == holder; });
    return found == budget.slices.end() ? nullptr : &*found;
}

std::uint64_t freeTokens(const BudgetState& budget)
{
    std::uint64_t granted = grantedTokens(budget);
    return budget.totalTokens - std::min(budget.totalTokens, granted);
}

Result<BudgetState> applyChange(const BudgetState& budget, const SliceChange& change)
{
    const BudgetSlice* old = findSlice(budget, change.holder);
    if (old && old->epoch > change.epoch)
        return fail(ErrorCode::NotOwner, "slices[" + change.holder + "].epoch",
            "epoch " + std::to_string(old->epoch) + " holds the slice");
    if (!old && budget.slices.size() >= maxBudgetSlices)
        return fail(ErrorCode::TooLarge, "slices",
            "the budget has its maximum of " + std::to_string(maxBudgetSlices) + " holders");
    std::uint64_t oldGranted = old ? old->grantedTokens : 0;
    if (change.grantedTokens > oldGranted && change.grantedTokens - oldGranted > freeTokens(budget))
        return fail(ErrorCode::BudgetExceeded, "slices[" + change.holder + "].grantedTokens",
            "only " + std::to_string(freeTokens(budget)) + " tokens are free");
    BudgetState changed = budget;
    std::erase_if(changed.slices, [&](const BudgetSlice& slice) { return slice.holder == change.holder; });
    BudgetSlice slice { change.holder, change.epoch, change.grantedTokens, change.wantedTokens, change.operation };
    auto position = std::find_if(changed.slices.begin(), changed.slices.end(),
        [&](const BudgetSlice& other) { return other.holder > change.holder; });
    changed.slices.insert(position, std::move(slice));
    return changed;
}

BudgetState withLimits(const BudgetState& budget, std::uint64_t totalTokens, std::int64_t expiresUnixMillis)
{
    BudgetState changed = budget;
    changed.totalTokens = std::min(totalTokens, maxBudgetTokens);
    changed.expiresUnixMillis = expiresUnixMillis;
    return changed;
}

} // namespace lovagecross
