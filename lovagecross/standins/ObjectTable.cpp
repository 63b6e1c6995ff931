#include "lovagecross/standins/ObjectTable.h"

namespace lovagecross::standins {

namespace {

StoreResult resultOf(StoreStatus status, std::string_view key, std::uint64_t version = 0)
{
    StoreResult result;
    result.status = status;
    result.object.key = key;
    result.object.version = version;
    return result;
}

} // namespace

StoreResult ObjectTable::get(std::string_view key) const
{
    const Entry* entry = this->findLive(key);
    if (!entry)
        return resultOf(StoreStatus::NotFound, key);
    StoreResult result = resultOf(StoreStatus::Ok, key, entry->version);
    result.object.value = *entry->value;
    return result;
}

StoreResult ObjectTable::create(std::string_view key, std::string_view value)
{
    if (value.size() > maxObjectBytes)
        return resultOf(StoreStatus::TooLarge, key);
    if (const Entry* entry = this->findLive(key))
        return resultOf(StoreStatus::Conflict, key, entry->version);
    Entry& entry = this->entries[std::string(key)];
    entry.value = std::string(value);
    ++entry.version;
    ++this->liveObjects;
    return resultOf(StoreStatus::Ok, key, entry.version);
}

StoreResult ObjectTable::update(std::string_view key, std::string_view value, std::uint64_t expectedVersion)
{
    if (value.size() > maxObjectBytes)
        return resultOf(StoreStatus::TooLarge, key);
    const Entry* current = this->findLive(key);
    if (!current)
        return resultOf(StoreStatus::NotFound, key);
    if (current->version != expectedVersion)
        return resultOf(StoreStatus::Conflict, key, current->version);
    Entry& entry = this->entries.find(key)->second;
    entry.value = std::string(value);
    ++entry.version;
    return resultOf(StoreStatus::Ok, key, entry.version);
}

StoreResult ObjectTable::remove(std::string_view key, std::uint64_t expectedVersion)
{
    const Entry* current = this->findLive(key);
    if (!current)
        return resultOf(StoreStatus::NotFound, key);
    if (expectedVersion != 0 && current->version != expectedVersion)
        return resultOf(StoreStatus::Conflict, key, current->version);
    Entry& entry = this->entries.find(key)->second;
    entry.value.reset();
    --this->liveObjects;
    return resultOf(StoreStatus::Ok, key, entry.version);
}

std::vector<StoredObject> ObjectTable::list(std::string_view prefix, bool withValues) const
{
    std::vector<StoredObject> objects;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end(); ++entry) {
        if (!std::string_view(entry->first).starts_with(prefix))
            break;
        if (!entry->second.value)
            continue;
        StoredObject object { entry->first, entry->second.version, {} };
        if (withValues)
            object.value = *entry->second.value;
        objects.push_back(std::move(object));
    }
    return objects;
}

void ObjectTable::clear()
{
    this->entries.clear();
    this->liveObjects = 0;
}

const ObjectTable::Entry* ObjectTable::findLive(std::string_view key) const
{
    const auto found = this->entries.find(key);
    return found != this->entries.end() && found->second.value ? &found->second : nullptr;
}

} // namespace lovagecross::standins
