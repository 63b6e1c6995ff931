#pragma once

// Serialization of what nodes tell each other about backend servers: registry entries, rate limits and ends. A part of
// PeerCodec, internal to the adapters. `read` returns false for a malformed message.
//
// Thread safety: the functions share no state and may be called from any thread.

#include "lovagecross/ports/Peer.h"
#include "lovagecross/proto/peer.pb.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovagecross::detail {

inline constexpr std::size_t maxIdBytes = 128; // limit for ids of programs, requests and servers, and tenant names

inline constexpr int maxLoadServices = 64; // limit for one node's load
inline constexpr int maxLoadDataCentres = 64; // limit for the data centres to which a node sends calls of a service
inline constexpr int maxLoadSummaries = 1024; // limit for one message

// Whether the text has only characters of an address. An empty text has.
bool isAddressText(const std::string& text);

// Whether the duration can be added to or subtracted from any time point.
bool isSaneDuration(Duration duration);

void write(const RateLimitNotice& notice, proto::RateLimitNotice* out);
bool read(const proto::RateLimitNotice& in, RateLimitNotice& notice);

void write(const CrashNotice& notice, proto::CrashNotice* out);
bool read(const proto::CrashNotice& in, CrashNotice& notice);

void write(const CrashCursor& cursor, proto::CrashCursor* out);
CrashCursor read(const proto::CrashCursor& in);

void write(const ProgramLoad& load, proto::ProgramLoad* out);
bool read(const proto::ProgramLoad& in, ProgramLoad& load);

void write(const ServiceLoad& load, proto::ServiceLoad* out);
bool read(const proto::ServiceLoad& in, ServiceLoad& load);

void write(const NodeLoad& load, proto::NodeLoad* out);
bool read(const proto::NodeLoad& in, NodeLoad& load);

void write(const LoadSummary& summary, proto::LoadSummary* out);
bool read(const proto::LoadSummary& in, LoadSummary& summary);

void write(const LoadReport& report, proto::LoadReport* out);
bool read(const proto::LoadReport& in, LoadReport& report);

void write(const DirectoryUpdate& update, proto::DirectoryUpdate* out);
bool read(const proto::DirectoryUpdate& in, DirectoryUpdate& update);

// For the repeated fields of a message.
template <typename Notice, typename Messages> void writeAll(const std::vector<Notice>& notices, Messages* out)
{
    for (const Notice& notice : notices)
        write(notice, out->Add());
}

template <typename Messages, typename Notice> bool readAll(const Messages& in, std::vector<Notice>& notices)
{
    notices.resize(static_cast<std::size_t>(in.size()));
    for (int i = 0; i < in.size(); ++i) {
        if (!read(in[i], notices[static_cast<std::size_t>(i)]))
            return false;
    }
    return true;
}

} // namespace lovagecross::detail
