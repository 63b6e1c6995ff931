#include "lovagecross/lease/ShardLease.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <utility>

namespace lovagecross {

namespace {

// A gap of more than horizon / 10 between two reads restarts the horizon. See LeaseObserver::observed.
constexpr int minReadsPerHorizon = 10;

constexpr int renewalsPerHorizon = 3;

Duration scaleDuration(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration) * factor);
}

Duration minusClockDrift(Duration duration, const LeaseSettings& settings)
{
    return scaleDuration(duration, 1.0 - settings.maxClockDrift);
}

Duration plusClockDrift(Duration duration, const LeaseSettings& settings)
{
    return scaleDuration(duration, 1.0 + settings.maxClockDrift);
}

// Incarnations are stored as hexadecimal text because many JSON readers represent numbers exactly only up to 2^53.
std::string toHex(std::uint64_t number)
{
    std::array<char, 17> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(number));
    return std::string(buffer.data());
}

boost::leaf::error_id corruptDataError(std::string_view key, const std::string& reason)
{
    return fail(ErrorCode::CorruptData, std::string(key), std::string(key) + ": " + reason);
}

Poco::JSON::Object::Ptr nodeToJson(const NodeIncarnation& node, const std::string& address)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("node", node.node);
    object->set("incarnation", toHex(node.incarnation));
    object->set("address", address);
    return object;
}

// Thrown by the functions below and caught in decodeLease.
struct LeaseFormatError {
    std::string reason;
};

template <typename T> T requireField(const Poco::JSON::Object::Ptr& object, const std::string& path, const char* name)
{
    Poco::Dynamic::Var value = object->get(name);
    if (value.isEmpty() || value.type() == typeid(bool) != std::is_same_v<T, bool>)
        throw LeaseFormatError { path + name + " is missing or has a wrong type" };
    try {
        return value.convert<T>();
    } catch (const Poco::Exception&) {
        throw LeaseFormatError { path + name + " has a wrong type" };
    }
}

std::uint64_t parseHex(const std::string& text, const std::string& path)
{
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (error != std::errc() || end != text.data() + text.size())
        throw LeaseFormatError { path + "incarnation is not a hexadecimal number" };
    return number;
}

void readNode(const Poco::JSON::Object::Ptr& object, const char* name, NodeIncarnation& node, std::string& address)
{
    std::string path = std::string(name) + ".";
    Poco::JSON::Object::Ptr member = object->getObject(name);
    if (member.isNull())
        throw LeaseFormatError { std::string(name) + " is missing" };
    node.node = requireField<std::string>(member, path, "node");
    node.incarnation = parseHex(requireField<std::string>(member, path, "incarnation"), path);
    address = requireField<std::string>(member, path, "address");
}

LeaseRecord parseLease(const std::string& json)
{
    Poco::JSON::Parser parser;
    Poco::JSON::Object::Ptr object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    LeaseRecord record;
    readNode(object, "holder", record.holder, record.holderAddress);
    readNode(object, "standby", record.standby, record.standbyAddress);
    record.epoch = requireField<std::uint64_t>(object, "", "epoch");
    record.released = requireField<bool>(object, "", "released");
    record.renewals = requireField<std::uint64_t>(object, "", "renewals");
    return record;
}

} // namespace

std::string leaseKey(const ShardId& shard)
{
    return "shards/" + shard.toString();
}

std::string encodeLease(const LeaseRecord& record)
{
    Poco::JSON::Object object;
    object.set("holder", nodeToJson(record.holder, record.holderAddress));
    object.set("epoch", record.epoch);
    object.set("standby", nodeToJson(record.standby, record.standbyAddress));
    object.set("released", record.released);
    object.set("renewals", record.renewals);
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

Result<LeaseRecord> decodeLease(std::string_view key, std::string_view json)
{
    try {
        return parseLease(std::string(json));
    } catch (const LeaseFormatError& error) {
        return corruptDataError(key, error.reason);
    } catch (const Poco::Exception& error) {
        return corruptDataError(key, "malformed lease record: " + error.displayText());
    }
}

HolderLease::HolderLease(LeaseSettings settings, NodeIncarnation self, std::string selfAddress)
    : settings(settings)
    , self(std::move(self))
    , selfAddress(std::move(selfAddress))
{
}

void HolderLease::writeSucceeded(TimePoint startedAt, LeaseRecord record, std::uint64_t version)
{
    bool sameStandby = this->isHeld && record.standby == this->current.standby && record.epoch == this->current.epoch;
    if (version < this->currentVersion)
        return;
    if (!sameStandby) {
        this->promisedUntil.reset();
        this->lastPromiseRequest.reset();
        this->standbyReplacedAt.reset();
        this->standbyTakeoverExcluded = false;
        this->standbyRegisteredAt = startedAt;
        this->lastAnsweredRequestAt = startedAt;
    }
    // If the dead standby had taken over, it would have changed the object's version and this write would have failed.
    this->standbyTakeoverExcluded |= this->standbyReplacedAt && startedAt >= *this->standbyReplacedAt;
    this->isHeld = record.holder == this->self && !record.released;
    this->standbyChangeStartedAt.reset();
    this->lastWriteStartedAt = startedAt;
    this->current = std::move(record);
    this->currentVersion = version;
}

void HolderLease::promiseReceived(
    TimePoint requestSentAt, std::uint64_t epoch, const NodeIncarnation& from, Duration duration)
{
    if (!this->isHeld || this->standbyReplacedAt || epoch != this->current.epoch || from.empty()
        || from != this->current.standby)
        return;
    TimePoint until = requestSentAt + minusClockDrift(duration, this->settings);
    this->promisedUntil = std::max(this->promisedUntil.value_or(until), until);
    this->lastAnsweredRequestAt = std::max(this->lastAnsweredRequestAt, requestSentAt);
}

void HolderLease::standbyRestarted(TimePoint requestSentAt, TimePoint answeredAt, const NodeIncarnation& replacement)
{
    const NodeIncarnation& standby = this->current.standby;
    bool replaced = replacement.node == standby.node && replacement.incarnation != standby.incarnation;
    if (requestSentAt < this->standbyRegisteredAt || standby.empty() || !replaced || this->standbyReplacedAt)
        return;
    // A standby that never made a promise may take over a leaseDuration after it has read that it was registered.
    TimePoint earliestTakeover
        = this->standbyRegisteredAt + minusClockDrift(this->settings.leaseDuration, this->settings);
    earliestTakeover = std::max(earliestTakeover, this->promisedUntil.value_or(earliestTakeover));
    this->standbyReplacedAt = answeredAt;
    this->standbyTakeoverExcluded = answeredAt < earliestTakeover;
}

void HolderLease::standbyChangeStarted(TimePoint now)
{
    if (!this->standbyChangeStartedAt)
        this->standbyChangeStartedAt = now;
}

void HolderLease::standbyChangeRejected()
{
    this->standbyChangeStartedAt.reset();
}

void HolderLease::markLost()
{
    this->isHeld = false;
}

std::optional<TimePoint> HolderLease::authorityEnd() const
{
    if (!this->isHeld)
        return std::nullopt;
    TimePoint end = this->lastWriteStartedAt + minusClockDrift(this->settings.horizon, this->settings);
    if (this->standbyChangeStartedAt)
        end = std::min(
            end, *this->standbyChangeStartedAt + minusClockDrift(this->settings.leaseDuration, this->settings));
    if (this->current.standby.empty() || this->standbyTakeoverExcluded)
        return end;
    if (!this->promisedUntil)
        return std::nullopt;
    return std::min(end, *this->promisedUntil);
}

bool HolderLease::hasAuthority(TimePoint now) const
{
    std::optional<TimePoint> end = this->authorityEnd();
    return end && now < *end;
}

bool HolderLease::renewalDue(TimePoint now) const
{
    return this->isHeld && now - this->lastWriteStartedAt >= this->settings.horizon / renewalsPerHorizon;
}

bool HolderLease::promiseDue(TimePoint now) const
{
    if (!this->isHeld || this->current.standby.empty() || this->standbyReplacedAt)
        return false;
    return !this->lastPromiseRequest || now - *this->lastPromiseRequest >= this->settings.promiseInterval;
}

void HolderLease::promiseRequested(TimePoint now)
{
    this->lastPromiseRequest = now;
}

bool HolderLease::standbySuspect(TimePoint now) const
{
    if (!this->isHeld || this->current.standby.empty())
        return false;
    return this->standbyReplacedAt || now - this->lastAnsweredRequestAt >= this->settings.leaseDuration / 2;
}

LeaseRecord HolderLease::renewal() const
{
    LeaseRecord record = this->current;
    ++record.renewals;
    return record;
}

LeaseRecord HolderLease::withStandby(const NodeIncarnation& standby, std::string address) const
{
    LeaseRecord record = this->renewal();
    record.standby = standby;
    record.standbyAddress = std::move(address);
    return record;
}

LeaseRecord HolderLease::release() const
{
    LeaseRecord record = this->renewal();
    record.released = true;
    return record;
}

LeaseObserver::LeaseObserver(LeaseSettings settings, NodeIncarnation self, std::string selfAddress)
    : settings(settings)
    , self(std::move(self))
    , selfAddress(std::move(selfAddress))
{
}

void LeaseObserver::observed(TimePoint now, const std::optional<LeaseRecord>& record, std::uint64_t version)
{
    bool stale = record && this->current && version < this->currentVersion;
    if (stale)
        return;
    bool changed = !this->lastReadAt || version != this->currentVersion;
    bool readsInterrupted = this->lastReadAt && now - *this->lastReadAt > this->settings.horizon / minReadsPerHorizon;
    // If this node missed a renewal, that renewal may have named another standby.
    bool standbyUnchanged = this->current && record && this->current->standby == this->self
        && this->current->epoch == record->epoch && record->renewals <= this->current->renewals + 1;
    if (changed || readsInterrupted)
        this->horizonStart = now;
    if (changed && record)
        this->takeoverInFlight = false;
    if (!standbyUnchanged)
        this->selfStandbySince = now;
    this->lastReadAt = now;
    this->current = record;
    this->currentVersion = record ? version : 0;
}

std::optional<Duration> LeaseObserver::promise(TimePoint now, std::uint64_t epoch, const NodeIncarnation& holder)
{
    if (this->takeoverInFlight || epoch < this->promisedEpoch)
        return std::nullopt;
    if (this->current) {
        bool matchesRecord = epoch == this->current->epoch && holder == this->current->holder
            && this->self == this->current->standby && !this->current->released;
        if (!matchesRecord && epoch <= this->current->epoch)
            return std::nullopt;
    }
    TimePoint until = now + plusClockDrift(this->settings.leaseDuration, this->settings);
    this->promisedUntil = std::max(this->promisedUntil.value_or(until), until);
    this->promisedEpoch = epoch;
    return this->settings.leaseDuration;
}

void LeaseObserver::takeoverStarted()
{
    this->takeoverInFlight = true;
}

void LeaseObserver::takeoverRejected()
{
    this->takeoverInFlight = false;
}

TakeoverReason LeaseObserver::takeoverReason(TimePoint now) const
{
    if (!this->lastReadAt)
        return TakeoverReason::None;
    if (!this->current)
        return TakeoverReason::Vacant;
    if (this->current->released)
        return TakeoverReason::Released;
    const NodeIncarnation& holder = this->current->holder;
    if (holder == this->self)
        return TakeoverReason::None;
    if (holder.node == this->self.node && this->current->holderAddress == this->selfAddress)
        return TakeoverReason::SameNode;
    if (this->promisedUntil && now < *this->promisedUntil)
        return TakeoverReason::None;
    Duration standbyWait = plusClockDrift(this->settings.leaseDuration, this->settings);
    if (this->current->standby == this->self && now >= this->selfStandbySince + standbyWait)
        return TakeoverReason::Standby;
    if (now >= this->horizonStart + plusClockDrift(this->settings.horizon, this->settings))
        return TakeoverReason::Horizon;
    return TakeoverReason::None;
}

LeaseRecord LeaseObserver::claim(const NodeIncarnation& standby, std::string standbyAddress) const
{
    LeaseRecord record;
    record.holder = this->self;
    record.holderAddress = this->selfAddress;
    record.epoch = this->current ? this->current->epoch + 1 : 1;
    record.standby = standby;
    record.standbyAddress = std::move(standbyAddress);
    return record;
}

} // namespace lovagecross
