#pragma once

#include "origins/originlog.h"

#include <set>
#include <string>

namespace marjoram {

/// What the replies of reporters tell about the origin of one stream. Not thread safe.
class origin_lookup
{
public:
    /// So many reporters have been asked; asking again counts none twice.
    auto onAsked(std::size_t reporters) -> void { m_asked = reporters; }
    /// Ignores a second reply of the same reporter.
    auto onReply(const std::string &reporter, const stream_origin &origin) -> void
    {
        if (m_replied.insert(reporter).second) {
            m_origin = combine(m_origin, origin);
        }
    }
    /// Whether no further reply can change the result.
    auto isDecided() const -> bool
    {
        return m_origin.evidence == origin_evidence::delivered
               || (m_asked && m_replied.size() >= *m_asked);
    }
    auto origin() const -> const stream_origin & { return m_origin; }
    auto replies() const -> std::size_t { return m_replied.size(); }
    /// Whether reporters that were asked have not replied.
    auto isIncomplete() const -> bool { return !m_asked || m_replied.size() < *m_asked; }

private:
    std::optional<std::size_t> m_asked;
    std::set<std::string> m_replied;
    stream_origin m_origin;
};

} // namespace marjoram
