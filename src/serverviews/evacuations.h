#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjoram {

/// Names of data centres.
using data_centre_set = std::set<std::string, std::less<>>;

/// Changes between two sets of evacuated data centres.
struct evacuation_changes
{
    std::vector<std::string> evacuated;
    std::vector<std::string> returned;
};

/// The data centres whose backend servers get no requests until an operator revokes it. Names that
/// no server has are kept: servers may appear there later. Not thread safe: belongs to one duty.
class evacuations
{
public:
    /// Replaces the set and returns the differences.
    auto replace(data_centre_set dataCentres) -> evacuation_changes
    {
        evacuation_changes out;
        std::set_difference(dataCentres.begin(), dataCentres.end(), m_dataCentres.begin(),
                            m_dataCentres.end(), std::back_inserter(out.evacuated));
        std::set_difference(m_dataCentres.begin(), m_dataCentres.end(), dataCentres.begin(),
                            dataCentres.end(), std::back_inserter(out.returned));
        m_dataCentres = std::move(dataCentres);
        return out;
    }
    auto contains(std::string_view dataCentre) const -> bool
    {
        return m_dataCentres.contains(dataCentre);
    }
    auto count() const -> std::size_t { return m_dataCentres.size(); }

private:
    data_centre_set m_dataCentres;
};

} // namespace marjoram
