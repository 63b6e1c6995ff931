#pragma once

// How often nodes read the configuration and the registry, or ask for them, and how old what they get may be. All
// follow from one bound: the time within which a change must be in force at every node.
//
//     DirectoryTimes times = directoryTimesFor(std::chrono::seconds(2));
//
// A change that the platform has acknowledged is in force at a node at the latest after the sum of these steps:
//
//     fault                                       steps                                          share of the bound
//     none                                        readInterval + fetchInterval                   0.35
//     the platform or its connections are silent  readInterval + readTimeout, then a new read    0.40
//     the publisher can't read                    maxAge + fetchInterval                         0.55
//     the publisher doesn't answer                fetchInterval + fetchTimeout + maxAge          0.65
//     two publishers don't answer                 fetchInterval + 2 * fetchTimeout + maxAge      0.75
//     no publisher answers                        the step above + fetchTimeout, then an own read 0.85
//
// The time that messages travel comes in addition.
//
// Thread safety: plain values and a free function.

#include "lovagecross/base/Clock.h"

namespace lovagecross {

struct DirectoryTimes {
    Duration maxAge { 0 }; // of what a publisher knows; if its answer is older, the next one is asked
    Duration readInterval { 0 }; // between two reads of the platform, which each confirm what is known
    Duration readTimeout { 0 }; // of a read, beyond the time for which it waits for a change
    Duration fetchInterval { 0 }; // between two requests to the publishers
    Duration fetchTimeout { 0 }; // of a request to one publisher
};

// `inForceWithin` is the time from the platform's acknowledgement of a change until all nodes must act on it.
constexpr DirectoryTimes directoryTimesFor(Duration inForceWithin)
{
    DirectoryTimes times;
    times.maxAge = inForceWithin * 40 / 100;
    times.readInterval = inForceWithin * 20 / 100;
    times.readTimeout = inForceWithin * 20 / 100;
    times.fetchInterval = inForceWithin * 15 / 100;
    times.fetchTimeout = inForceWithin * 10 / 100;
    return times;
}

} // namespace lovagecross
