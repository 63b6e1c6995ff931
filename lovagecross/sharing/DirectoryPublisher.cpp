#include "lovagecross/sharing/DirectoryPublisher.h"

namespace lovagecross {

namespace {

DirectoryServer toMessage(const ServerEntry& entry)
{
    return { entry.id, entry.service, entry.address, entry.dataCentre, entry.slots,
        entry.state == ServerState::Draining, toMillis(entry.coldFor), entry.startedUnixMillis, entry.softwareVersion,
        std::nullopt };
}

} // namespace

DirectoryUpdate answerDirectoryFetch(const Directory& directory, const DirectoryFetch& fetch)
{
    DirectoryUpdate update;
    // Read before `view`: a list that is newer than its stated age is harmless, an older one is not.
    Duration registryAge = directory.registryAge();
    Duration configurationAge = directory.configurationAge();
    auto view = directory.view();
    if (configurationAge != Duration::max())
        update.configurationAgeMillis = toMillis(configurationAge);
    if (view->configuration)
        update.configurationVersion = view->configuration->version;
    update.registryKnown = view->registryKnown;
    if (view->registryKnown) {
        update.registryAgeMillis = toMillis(registryAge);
        update.registryRevision = view->registryRevision;
        update.hasServers = view->serversDigest != fetch.serversDigest;
    }
    if (update.hasServers) {
        for (const auto& [service, servers] : view->servers) {
            for (const ServerEntry& server : servers) {
                update.servers.push_back(toMessage(server));
                if (server.lapsesAt)
                    update.servers.back().lapsesInMillis = toMillis(directory.timeUntil(*server.lapsesAt));
            }
        }
    }
    if (view->configuration && view->configuration->version > fetch.configurationVersion)
        update.configurationDocument = view->configuration->document;
    return update;
}

} // namespace lovagecross
