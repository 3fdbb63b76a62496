#pragma once

#include "directory/listwatch.h"
#include "framework/global/result.h"
#include "manifest/routetable.h"
#include "serverviews/serverentry.h"

#include <string>
#include <variant>

namespace marjoram {

/// What an entry reads from the directory service.
enum class feed_kind { configuration, servers };
inline constexpr std::array feedKindNames{
    enum_name<feed_kind>{feed_kind::configuration, "configuration"},
    enum_name<feed_kind>{feed_kind::servers, "servers"},
};
constexpr auto namesOf(feed_kind) -> const auto &
{
    return feedKindNames;
}

/// Why an answer of the directory service is not used.
enum class feed_error { outdated = 1, overdue };
inline constexpr std::array feedErrorNames{
    enum_name<feed_error>{feed_error::outdated, "answer is older than what is known"},
    enum_name<feed_error>{feed_error::overdue, "no answer in time"},
};
constexpr auto namesOf(feed_error) -> const auto &
{
    return feedErrorNames;
}
constexpr auto categoryNameOf(feed_error) -> const char *
{
    return "feed";
}
inline auto make_error_code(feed_error e) -> std::error_code
{
    return errorCode(e);
}

/// Text of a published configuration.
struct configuration_text
{
    std::string text;
};

/// Nothing more is to be sent to the backend servers of a data centre while this is published.
struct evacuation_request
{
    /// Empty if the entry names none that is usable.
    std::string dataCentre;
};
/// What operators publish.
using operator_item = std::variant<configuration_text, evacuation_request>;

/// Client of the directory service, with at most one call in progress per feed. For each call the
/// owner gets exactly one of onPage(), onChanges(), onCompacted(kind) and onFailed(kind, error),
/// unless it calls abandon(kind) first; onProgress(kind, bytes) tells of parts of an answer that
/// have arrived before that. The owner limits the time of a call. Only a call that
/// follows an answer at once may use its connection: others may be dead without a sign of it.
template <typename S>
concept directory_source = requires(S &source, feed_kind kind, const std::string &text)
{
    source.list(kind, text);
    source.watch(kind, std::uint64_t{}, std::int64_t{});
    source.abandon(kind);
    {
        S::readRouteTable(text)
        } -> std::same_as<result<route_table_content>>;
};

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::feed_error)
