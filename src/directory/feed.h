#pragma once

#include "directory/listwatch.h"
#include "framework/global/result.h"
#include "manifest/routetable.h"
#include "serverviews/serverentry.h"

#include <string>

namespace marjoram {

/// What an entry reads from the users' service.
enum class feed_kind { configuration, servers };
inline constexpr std::array feedKindNames{
    enum_name<feed_kind>{feed_kind::configuration, "configuration"},
    enum_name<feed_kind>{feed_kind::servers, "servers"},
};
constexpr auto namesOf(feed_kind) -> const auto &
{
    return feedKindNames;
}

/// An approved configuration as it was published.
struct configuration_text
{
    std::string text;
};

/// Reads the users' service; one call a feed is under way at a time. Its owner hears, for each
/// call, exactly one of onPage(), onChanges(), onCompacted(kind) and onFailed(kind, error).
template <typename S>
concept directory_source = requires(S &source, feed_kind kind, const std::string &text)
{
    source.list(kind, text);
    source.watch(kind, std::uint64_t{}, std::int64_t{});
    {
        S::readRouteTable(text)
        } -> std::same_as<result<route_table_content>>;
};

} // namespace marjoram
