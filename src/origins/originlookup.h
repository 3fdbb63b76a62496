#pragma once

#include "origins/originlog.h"

#include <set>
#include <string>

namespace marjoram {

/// What the replies of reporters tell about the origin of one stream, and whether others may know
/// more. Not thread safe.
class origin_lookup
{
public:
    /// So many reporters have been asked, and so many that may know the origin are silent; asking
    /// again counts none twice.
    auto onAsked(std::size_t reporters, std::size_t unheard = 0) -> void
    {
        m_asked = reporters;
        m_unheard = unheard;
    }
    /// Other reporters are asked from now on. What was replied before still counts.
    auto restart() -> void
    {
        m_asked.reset();
        m_replied.clear();
    }
    /// Ignores a second reply of the same reporter.
    auto onReply(const std::string &reporter, const stream_origin &origin) -> void
    {
        if (m_replied.insert(reporter).second) {
            m_origin = combine(m_origin, origin);
        }
    }
    /// Whether no further reply of those that were asked can change the result.
    auto isDecided() const -> bool
    {
        return m_origin.evidence == origin_evidence::delivered
               || (m_asked && m_replied.size() >= *m_asked);
    }
    auto origin() const -> const stream_origin & { return m_origin; }
    auto replies() const -> std::size_t { return m_replied.size(); }
    auto unheard() const -> std::size_t { return m_unheard; }
    /// Whether reporters that are known, and may know the origin, have not replied.
    auto isIncomplete() const -> bool
    {
        return !m_asked || m_replied.size() < *m_asked || m_unheard > 0;
    }

private:
    std::optional<std::size_t> m_asked;
    std::size_t m_unheard = 0;
    std::set<std::string> m_replied;
    stream_origin m_origin;
};

} // namespace marjoram
