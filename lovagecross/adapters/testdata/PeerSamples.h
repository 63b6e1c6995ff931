#pragma once

// The messages whose encodings by landed commits are in peer-messages-COMMIT.txt.
//
// Thread safety: free functions without shared state.

#include "lovagecross/adapters/PeerCodec.h"

#include <chrono>
#include <map>
#include <string>

namespace lovagecross {

inline constexpr detail::RequestId sampleRequestId { 0x1122334455667788, 42 };

inline Gossip sampleGossip()
{
    return { { { { "entry1", 0x9f03c1d2a4b5e677 }, "lodz1", 1'000'000, "192.168.100.101:7102", "192.168.100.101:7100",
                   "192.168.100.101:7101", 17, true, { { 3, 1000 }, { 0, 1 } } },
        { { "record2", 7 }, "lodz2", 5, "10.0.0.2:7102", "", "", 0, false, {} } } };
}

inline RateLimitNotice sampleLimit()
{
    return { "i-7f", 1'700'000'000'123, 7.25, std::chrono::milliseconds(30) };
}

inline RateLimitNotice sampleEndedLimit()
{
    return { "i-80", 18, std::nullopt, std::chrono::seconds(2) };
}

inline CrashNotice sampleCrash()
{
    return { "i-7f", 1'700'000'000'123, "2.1", "entry1", { std::string("0123456789abcde\xff"), std::string(16, 'b') },
        std::chrono::milliseconds(90) };
}

// Of a call that was answered since.
inline CrashNotice sampleRelease()
{
    return { {}, 0, {}, "entry2", { std::string(16, 'c') }, std::chrono::seconds(1) };
}

inline ServiceLoad sampleLoad()
{
    return { "chat", 17, 2, 3, 240, { { "lodz2", 5, 9 }, { "lodz3", 1 } } };
}

inline DirectoryFetch sampleDirectoryFetch()
{
    DirectoryFetch fetch;
    fetch.configurationVersion = 12;
    fetch.serversDigest = 0xfedcba9876543210;
    fetch.relayAddress = "10.0.0.1:7105";
    fetch.relayDataCentre = "lodz1";
    fetch.relays = true;
    fetch.crashes = { 77, 4 };
    fetch.programLoad = { "entry1", 12, { { "acme", 2.5 }, { "", 1 } } };
    fetch.load = { "entry1", "lodz1", { sampleLoad() } };
    return fetch;
}

inline DirectoryUpdate sampleDirectoryUpdate()
{
    DirectoryServer server;
    server.id = "i-7f";
    server.service = "chat";
    server.address = "10.0.1.7:8000";
    server.dataCentre = "lodz2";
    server.slots = 4;
    server.draining = true;
    server.coldMillis = 2500;
    server.startedUnixMillis = 1'700'000'000'123;
    server.softwareVersion = "2.1";
    server.lapsesInMillis = 9000;
    DirectoryUpdate update;
    update.registryKnown = true;
    update.registryAgeMillis = 350;
    update.registryRevision = 99;
    update.hasServers = true;
    update.servers.push_back(server);
    update.configurationAgeMillis = 450;
    update.configurationVersion = 12;
    update.configurationDocument = R"({"version":12,"routes":[{"prefix":"/v1/","service":"chat"}]})";
    update.limits = { sampleLimit(), sampleEndedLimit() };
    update.crashesUpTo = { 77, 5 };
    update.crashes = { sampleCrash(), sampleRelease() };
    update.fleet = { 91, 402, { "acme" } };
    update.loads = { { "lodz1", sampleLoad(), 74, std::chrono::milliseconds(320) } };
    update.loadRank = 6;
    return update;
}

// Bodies of requests and control messages by the name of their sample, one or more for each alternative.
inline std::map<std::string, detail::PeerBody> samplePeerBodies()
{
    ShardId shard { "lodz1", 2 };
    return {
        { "promise-request", PromiseRequest { shard, 7, { "entry1", 11 }, { "entry2", 12 } } },
        { "bridge-batch", BridgeBatch { shard, 7, 3, 9, std::string("by\0tes\xff", 7) } },
        { "bridge-trim", BridgeTrim { shard, 3, 8 } },
        { "bridge-fetch", BridgeFetch { shard } },
        { "gossip", sampleGossip() },
        { "config-fetch", ConfigFetch {} },
        { "forward-request", ForwardRequest { ForwardKind::EndProgram, shard, "p1", "r1", "t1", "calls/1", "{}", 2 } },
        { "record-call", RecordCall { std::string("rec\0ord\xfe", 8) } },
        { "directory-fetch", sampleDirectoryFetch() },
        { "permit-request", PermitRequest { sampleLimit() } },
        { "quota-request", QuotaRequest { "zielone", 120.5, 60, 12, 5, 3, 2, 40 } },
        { "limit-report", LimitReport { { sampleLimit(), sampleEndedLimit() }, true } },
        { "leaving-report", LeavingReport { { { "i-7f", 1'700'000'000'123 }, { "i-80", 18 } } } },
        { "crash-report", CrashReport { { sampleCrash(), sampleRelease() }, true } },
        { "load-report", LoadReport { "record1", { { "lodz1", sampleLoad(), 74, std::chrono::milliseconds(320) } } } },
        { "relay-fetch", RelayFetch { "10.0.0.1:7105" } },
        { "forward-cancel", detail::ForwardCancel {} },
        { "forward-chunk", detail::ForwardChunk { 4, "text" } },
        { "heartbeat", detail::Heartbeat {} },
        { "answer-part", detail::AnswerPart { 1, true, "part" } },
        { "refusal", detail::Refusal { true, "stopping" } },
        { "goodbye", detail::Goodbye {} },
    };
}

// Answers by the name of their sample, one or more for each alternative.
inline std::map<std::string, PeerAnswer> samplePeerAnswers()
{
    NodeIncarnation from { "entry2", 12 };
    return {
        { "nothing", std::monostate {} },
        { "promise-answer", PromiseAnswer { true, 7, from, std::chrono::seconds(3) } },
        { "bridge-answer", BridgeAnswer { true, from } },
        { "bridge-copies", BridgeCopies { from, { { { "lodz1", 2 }, 7, 3, 9, "bytes" } } } },
        { "gossip-answer", sampleGossip() },
        { "config-document", ConfigDocument { 12, R"({"version":12})" } },
        { "forward-end", ForwardEnd { 200, R"({"done":true})" } },
        { "record-reply", RecordReply { std::string("rec\0ord\xfe", 8) } },
        { "directory-update", sampleDirectoryUpdate() },
        { "permit-answer", PermitAnswer { true, false, std::chrono::milliseconds(70), sampleLimit() } },
        { "quota-answer",
            QuotaAnswer { true, 43, 7.5, std::chrono::milliseconds(70), 12, 5, true, std::chrono::milliseconds(130),
                std::chrono::milliseconds(150) } },
        { "relay-list", RelayList { { { "10.0.0.1:7105", "lodz1" }, { "10.0.0.2:7105", "lodz2" } } } },
        { "relay-list-empty", RelayList {} },
    };
}

} // namespace lovagecross
