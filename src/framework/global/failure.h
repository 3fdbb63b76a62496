#pragma once

#include "framework/global/result.h"

namespace marjoram {

/// Whether a request that failed reached a backend server.
enum class run_state { not_run, unknown, completed };
inline constexpr std::array runStateNames{
    enum_name<run_state>{run_state::not_run, "not_run"},
    enum_name<run_state>{run_state::unknown, "unknown"},
    enum_name<run_state>{run_state::completed, "completed"},
};
constexpr auto namesOf(run_state) -> const auto &
{
    return runStateNames;
}

/// Reasons for which a request is refused or ends without its whole answer.
enum class failure {
    none,
    malformed_request,
    too_large,
    unauthenticated,
    rank_not_allowed,
    unknown_model,
    unknown_service,
    unknown_team,
    no_manifest,
    draining,
    overloaded,
    would_miss_deadline,
    deadline_exceeded,
    no_backend_server,
    backend_server_lost,
    backend_server_failed,
    generation_lost,
    key_malformed,
    key_expired,
    key_from_future,
    key_body_mismatch,
    key_in_flight,
    wrong_owner,
    owner_unreachable,
    owner_amnesia,
    superseded,
    cancelled,
    quarantined,
    rate_limited,
    software_version_gone,
    stream_origin_unknown,
};
inline constexpr std::array failureNames{
    enum_name<failure>{failure::none, "none"},
    enum_name<failure>{failure::malformed_request, "malformed_request"},
    enum_name<failure>{failure::too_large, "too_large"},
    enum_name<failure>{failure::unauthenticated, "unauthenticated"},
    enum_name<failure>{failure::rank_not_allowed, "rank_not_allowed"},
    enum_name<failure>{failure::unknown_model, "unknown_model"},
    enum_name<failure>{failure::unknown_service, "unknown_service"},
    enum_name<failure>{failure::unknown_team, "unknown_team"},
    enum_name<failure>{failure::no_manifest, "no_manifest"},
    enum_name<failure>{failure::draining, "draining"},
    enum_name<failure>{failure::overloaded, "overloaded"},
    enum_name<failure>{failure::would_miss_deadline, "would_miss_deadline"},
    enum_name<failure>{failure::deadline_exceeded, "deadline_exceeded"},
    enum_name<failure>{failure::no_backend_server, "no_backend_server"},
    enum_name<failure>{failure::backend_server_lost, "backend_server_lost"},
    enum_name<failure>{failure::backend_server_failed, "backend_server_failed"},
    enum_name<failure>{failure::generation_lost, "generation_lost"},
    enum_name<failure>{failure::key_malformed, "key_malformed"},
    enum_name<failure>{failure::key_expired, "key_expired"},
    enum_name<failure>{failure::key_from_future, "key_from_future"},
    enum_name<failure>{failure::key_body_mismatch, "key_body_mismatch"},
    enum_name<failure>{failure::key_in_flight, "key_in_flight"},
    enum_name<failure>{failure::wrong_owner, "wrong_owner"},
    enum_name<failure>{failure::owner_unreachable, "owner_unreachable"},
    enum_name<failure>{failure::owner_amnesia, "owner_amnesia"},
    enum_name<failure>{failure::superseded, "superseded"},
    enum_name<failure>{failure::cancelled, "cancelled"},
    enum_name<failure>{failure::quarantined, "quarantined"},
    enum_name<failure>{failure::rate_limited, "rate_limited"},
    enum_name<failure>{failure::software_version_gone, "software_version_gone"},
    enum_name<failure>{failure::stream_origin_unknown, "stream_origin_unknown"},
};
constexpr auto namesOf(failure) -> const auto &
{
    return failureNames;
}
constexpr auto categoryNameOf(failure) -> const char *
{
    return "request";
}
inline auto make_error_code(failure e) -> std::error_code
{
    return errorCode(e);
}

/// The two ranks of work, most urgent first.
enum class rank { urgent, standard };
inline constexpr std::array rankNames{
    enum_name<rank>{rank::urgent, "urgent"},
    enum_name<rank>{rank::standard, "standard"},
};
constexpr auto namesOf(rank) -> const auto &
{
    return rankNames;
}
inline constexpr std::size_t RANK_COUNT = rankNames.size();
constexpr auto indexOf(rank r) -> std::size_t
{
    return static_cast<std::size_t>(r);
}

} // namespace marjoram

MARJORAM_ERROR_ENUM(marjoram::failure)
