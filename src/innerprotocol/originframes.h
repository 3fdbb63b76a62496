#pragma once

#include "origins/originevidence.h"
#include "serverviews/serverentry.h"

#include <cstdint>
#include <string>

namespace marjoram {

/// Entry to a few reporters: it has passed on the first event of a request's stream, which a server
/// of this software made.
struct stream_origin_frame
{
    std::string requestId;
    server_software software;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.requestId);
        visit(self.software);
    }
};

/// Entry to reporters: which software began the stream of a request.
struct origin_request_frame
{
    std::uint64_t lookupId = 0;
    std::string requestId;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.lookupId);
        visit(self.requestId);
    }
};

/// Reporter to entry: what it knows of that stream.
struct origin_reply_frame
{
    std::uint64_t lookupId = 0;
    origin_evidence evidence = origin_evidence::none;
    server_software software;

    template <typename Self, typename Visitor>
    static auto visitFields(Self &self, Visitor &&visit) -> void
    {
        visit(self.lookupId);
        visit(self.evidence);
        visit(self.software);
    }
};

} // namespace marjoram
