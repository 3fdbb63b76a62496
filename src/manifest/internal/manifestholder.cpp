#include "manifest/manifestholder.h"

#include "manifest/manifestreader.h"

namespace marjoram {

auto manifest_holder::offer(std::string text) -> offer_outcome
{
    if (m_current && text == m_text) {
        return offer_outcome::same;
    }
    document_faults faults;
    auto read = readManifest(text, faults);
    if (!read) {
        m_lastFaults = std::move(faults);
        return offer_outcome::invalid;
    }
    if (read->version < version()) {
        return offer_outcome::older;
    }
    if (read->version == version()) {
        return offer_outcome::conflicting;
    }
    m_current = std::move(read);
    m_text = std::move(text);
    return offer_outcome::accepted;
}

} // namespace marjoram
