#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoram {

/// LRU map from prompt prefixes to the hosts whose engines probably have them cached. A hint may be
/// wrong or missing. Not thread safe.
class prefix_hints
{
public:
    static constexpr std::size_t PREFIX_LIMIT = 16'384;
    static constexpr std::size_t HOSTS_PER_PREFIX = 3;

    auto add(std::uint64_t prefix, const std::string &host) -> void;
    auto remove(std::uint64_t prefix, const std::string &host) -> void;
    /// Hosts of a prefix, most recently added first; valid until the next change.
    auto hostsOf(std::uint64_t prefix) const -> const std::vector<std::string> &;
    auto size() const -> std::size_t { return m_holders.size(); }

private:
    struct prefix_holders
    {
        std::vector<std::string> hosts;
        std::list<std::uint64_t>::iterator recency;
    };

    std::unordered_map<std::uint64_t, prefix_holders> m_holders;
    std::list<std::uint64_t> m_byRecency;
};

} // namespace marjoram
