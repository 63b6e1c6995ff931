#include "lovagecross/adapters/PeerDirectoryCodec.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lovagecross::detail {

namespace {

constexpr std::size_t maxAddressBytes = 64;
// Limit for each number of nodes, calls and programs, and for mean call times in milliseconds, so that sums don't
// overflow.
constexpr std::uint32_t maxReportedCount = 1'000'000;

void write(const FleetShare& fleet, proto::FleetShare* out)
{
    out->set_nodes(fleet.nodes);
    out->set_calls(fleet.calls);
    for (const std::string& tenant : fleet.excessTenants)
        out->add_excess_tenants(tenant);
}

bool read(const proto::FleetShare& in, FleetShare& fleet)
{
    fleet.nodes = in.nodes();
    fleet.calls = in.calls();
    fleet.excessTenants.assign(in.excess_tenants().begin(), in.excess_tenants().end());
    return fleet.nodes <= maxReportedCount && fleet.calls <= maxReportedCount
        && fleet.excessTenants.size() <= maxReportedTenants
        && std::all_of(fleet.excessTenants.begin(), fleet.excessTenants.end(),
            [](const std::string& tenant) { return tenant.size() <= maxIdBytes; });
}

} // namespace

bool isAddressText(const std::string& text)
{
    return text.size() <= maxAddressBytes
        && text.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.:-[]")
        == std::string::npos;
}

bool isSaneDuration(Duration duration)
{
    return duration >= Duration(0) && duration <= std::chrono::hours(24);
}

void write(const RateLimitNotice& notice, proto::RateLimitNotice* out)
{
    out->set_server(notice.server);
    out->set_started_unix_millis(notice.startedUnixMillis);
    out->set_limited(notice.perSecond.has_value());
    out->set_per_second(notice.perSecond.value_or(0));
    out->set_age_nanos(notice.age.count());
}

bool read(const proto::RateLimitNotice& in, RateLimitNotice& notice)
{
    notice.server = in.server();
    notice.startedUnixMillis = in.started_unix_millis();
    if (in.limited())
        notice.perSecond = in.per_second();
    notice.age = Duration(in.age_nanos());
    return notice.server.size() <= maxIdBytes && std::isfinite(in.per_second()) && in.per_second() >= 0
        && isSaneDuration(notice.age);
}

void write(const CrashNotice& notice, proto::CrashNotice* out)
{
    out->set_server(notice.server);
    out->set_started_unix_millis(notice.startedUnixMillis);
    out->set_software_version(notice.softwareVersion);
    out->set_seen_by(notice.seenBy);
    for (const std::string& call : notice.calls)
        out->add_calls(call);
    out->set_age_nanos(notice.age.count());
}

bool read(const proto::CrashNotice& in, CrashNotice& notice)
{
    notice.server = in.server();
    notice.startedUnixMillis = in.started_unix_millis();
    notice.softwareVersion = in.software_version();
    notice.seenBy = in.seen_by();
    notice.calls.assign(in.calls().begin(), in.calls().end());
    notice.age = Duration(in.age_nanos());
    bool namesFit = notice.server.size() <= maxIdBytes && notice.softwareVersion.size() <= maxIdBytes
        && notice.seenBy.size() <= maxIdBytes;
    return namesFit && isSaneDuration(notice.age)
        && std::all_of(notice.calls.begin(), notice.calls.end(),
            [](const std::string& call) { return call.size() == fingerprintBytes; });
}

void write(const CrashCursor& cursor, proto::CrashCursor* out)
{
    out->set_log(cursor.log);
    out->set_position(cursor.position);
}

CrashCursor read(const proto::CrashCursor& in)
{
    return { in.log(), in.position() };
}

void write(const ProgramLoad& load, proto::ProgramLoad* out)
{
    out->set_node(load.node);
    out->set_calls(load.calls);
    for (const TenantBegun& entry : load.begun) {
        proto::TenantBegun* begun = out->add_begun();
        begun->set_tenant(entry.tenant);
        begun->set_programs(entry.programs);
    }
}

bool read(const proto::ProgramLoad& in, ProgramLoad& load)
{
    load.node = in.node();
    load.calls = in.calls();
    for (const proto::TenantBegun& entry : in.begun())
        load.begun.push_back({ entry.tenant(), entry.programs() });
    return !load.node.empty() && load.node.size() <= maxIdBytes && load.calls <= maxReportedCount
        && load.begun.size() <= maxReportedTenants
        && std::all_of(load.begun.begin(), load.begun.end(), [](const TenantBegun& entry) {
               return entry.tenant.size() <= maxIdBytes && entry.programs >= 0 && entry.programs <= maxReportedCount;
           });
}

void write(const ServiceLoad& load, proto::ServiceLoad* out)
{
    out->set_service(load.service);
    out->set_running(load.running);
    out->set_waiting(load.waiting);
    out->set_refusals(load.refusals);
    out->set_call_millis(load.callMillis);
    for (const SentCalls& sent : load.sent) {
        proto::SentCalls* entry = out->add_sent();
        entry->set_data_centre(sent.dataCentre);
        entry->set_running(sent.running);
        entry->set_reserved(sent.reserved);
    }
}

bool read(const proto::ServiceLoad& in, ServiceLoad& load)
{
    load.service = in.service();
    load.running = in.running();
    load.waiting = in.waiting();
    load.refusals = in.refusals();
    load.callMillis = in.call_millis();
    bool valid = !load.service.empty() && load.service.size() <= maxIdBytes && in.sent_size() <= maxLoadDataCentres
        && std::max({ load.running, load.waiting, load.refusals, load.callMillis }) <= maxReportedCount;
    for (const proto::SentCalls& sent : in.sent()) {
        load.sent.push_back({ sent.data_centre(), sent.running(), sent.reserved() });
        valid = valid && sent.data_centre().size() <= maxIdBytes
            && std::max(sent.running(), sent.reserved()) <= maxReportedCount;
    }
    return valid;
}

void write(const NodeLoad& load, proto::NodeLoad* out)
{
    out->set_node(load.node);
    out->set_data_centre(load.dataCentre);
    for (const ServiceLoad& service : load.services)
        write(service, out->add_services());
}

bool read(const proto::NodeLoad& in, NodeLoad& load)
{
    load.node = in.node();
    load.dataCentre = in.data_centre();
    return load.node.size() <= maxIdBytes && load.dataCentre.size() <= maxIdBytes
        && in.services_size() <= maxLoadServices && readAll(in.services(), load.services);
}

void write(const LoadSummary& summary, proto::LoadSummary* out)
{
    out->set_data_centre(summary.dataCentre);
    write(summary.load, out->mutable_load());
    out->set_nodes(summary.nodes);
    out->set_age_nanos(summary.age.count());
}

bool read(const proto::LoadSummary& in, LoadSummary& summary)
{
    summary.dataCentre = in.data_centre();
    summary.nodes = in.nodes();
    summary.age = Duration(in.age_nanos());
    return read(in.load(), summary.load) && summary.dataCentre.size() <= maxIdBytes && summary.nodes <= maxReportedCount
        && isSaneDuration(summary.age);
}

void write(const LoadReport& report, proto::LoadReport* out)
{
    out->set_from(report.from);
    writeAll(report.summaries, out->mutable_summaries());
}

bool read(const proto::LoadReport& in, LoadReport& report)
{
    report.from = in.from();
    return report.from.size() <= maxIdBytes && in.summaries_size() <= maxLoadSummaries
        && readAll(in.summaries(), report.summaries);
}

void write(const DirectoryUpdate& update, proto::DirectoryUpdate* out)
{
    out->set_registry_known(update.registryKnown);
    out->set_registry_age_millis(update.registryAgeMillis);
    out->set_registry_revision(update.registryRevision);
    out->set_has_servers(update.hasServers);
    if (update.configurationAgeMillis)
        out->set_configuration_age_millis(*update.configurationAgeMillis);
    out->set_configuration_version(update.configurationVersion);
    out->set_configuration_document(update.configurationDocument);
    writeAll(update.limits, out->mutable_limits());
    if (update.crashesUpTo.log != 0)
        write(update.crashesUpTo, out->mutable_crashes_up_to());
    writeAll(update.crashes, out->mutable_crashes());
    if (update.fleet.nodes > 0)
        write(update.fleet, out->mutable_fleet());
    writeAll(update.loads, out->mutable_loads());
    out->set_load_rank(update.loadRank);
    for (const DirectoryServer& server : update.servers) {
        proto::DirectoryServer* entry = out->add_servers();
        entry->set_id(server.id);
        entry->set_service(server.service);
        entry->set_address(server.address);
        entry->set_data_centre(server.dataCentre);
        entry->set_slots(server.slots);
        entry->set_draining(server.draining);
        entry->set_cold_millis(server.coldMillis);
        entry->set_started_unix_millis(server.startedUnixMillis);
        entry->set_software_version(server.softwareVersion);
        if (server.lapsesInMillis)
            entry->set_lapses_in_millis(*server.lapsesInMillis);
    }
}

bool read(const proto::DirectoryUpdate& in, DirectoryUpdate& update)
{
    update.registryKnown = in.registry_known();
    update.registryAgeMillis = in.registry_age_millis();
    update.registryRevision = in.registry_revision();
    update.hasServers = in.has_servers();
    if (in.has_configuration_age_millis())
        update.configurationAgeMillis = in.configuration_age_millis();
    update.configurationVersion = in.configuration_version();
    update.configurationDocument = in.configuration_document();
    update.crashesUpTo = read(in.crashes_up_to());
    for (const proto::DirectoryServer& entry : in.servers()) {
        if (!isAddressText(entry.address()))
            return false;
        update.servers.push_back(
            { entry.id(), entry.service(), entry.address(), entry.data_centre(), entry.slots(), entry.draining(),
                entry.cold_millis(), entry.started_unix_millis(), entry.software_version(), std::nullopt });
        if (entry.has_lapses_in_millis())
            update.servers.back().lapsesInMillis = entry.lapses_in_millis();
    }
    update.loadRank = in.load_rank();
    return in.loads_size() <= maxLoadSummaries && readAll(in.loads(), update.loads) && update.registryAgeMillis >= 0
        && update.configurationAgeMillis.value_or(0) >= 0 && readAll(in.limits(), update.limits)
        && readAll(in.crashes(), update.crashes) && read(in.fleet(), update.fleet);
}

} // namespace lovagecross::detail
