#pragma once

#include "directory/feed.h"
#include "serverviews/evacuations.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marjoram {

/// What a complete answer has changed. The evacuations are to be applied first: the configuration
/// may name a pool for the first time, and its requests must not reach evacuated servers.
struct operator_changes
{
    std::optional<data_centre_set> evacuated;
    std::optional<std::string> configuration;
};

/// Collects what operators publish until an answer is complete: a configuration may be on an
/// earlier page of a listing than the evacuations in force.
/// Not thread safe: belongs to one duty.
class operator_items
{
public:
    using items_by_key = std::map<std::string, published<operator_item>>;

    auto onPublished(const published<operator_item> &item) -> void
    {
        const auto *configuration
            = item.value ? std::get_if<configuration_text>(&*item.value) : nullptr;
        if (configuration) {
            m_configuration = configuration->text;
        }
    }
    /// Handles the end of an answer, after which `items` are all those that are published.
    auto onSynced(const items_by_key &items) -> operator_changes
    {
        data_centre_set evacuated;
        for (const auto &[key, item] : items) {
            const auto *request
                = item.value ? std::get_if<evacuation_request>(&*item.value) : nullptr;
            if (request && !request->dataCentre.empty()) {
                evacuated.insert(request->dataCentre);
            }
        }
        operator_changes out{.configuration = std::exchange(m_configuration, std::nullopt)};
        if (evacuated != m_evacuated) {
            m_evacuated = evacuated;
            out.evacuated = std::move(evacuated);
        }
        return out;
    }

private:
    std::optional<std::string> m_configuration;
    data_centre_set m_evacuated;
};

} // namespace marjoram
