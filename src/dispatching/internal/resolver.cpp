#include "dispatching/resolver.h"

#include <algorithm>

namespace marjoram {

namespace {

constexpr char ADAPTER_SEPARATOR = ':';

auto isRankAllowed(const team_entry &team, rank requested) -> bool
{
    return indexOf(requested) >= indexOf(team.highestRank);
}

auto hasAdapter(const model_entry &model, const std::string &name) -> bool
{
    return std::any_of(model.adapters.begin(), model.adapters.end(),
                       [&name](const adapter_entry &adapter) { return adapter.name == name; });
}

} // namespace

auto resolveGeneration(const manifest &current, const open_generation &open)
    -> result<generation_request>
{
    const auto *team = current.findTeamByCredential(open.credentialSha256);
    if (!team) {
        return make_error_code(failure::unauthenticated);
    }
    auto request = open.request;
    request.team = team->name;
    request.workRank = open.requestedRank.value_or(rank::standard);
    if (!isRankAllowed(*team, request.workRank)) {
        return make_error_code(failure::rank_not_allowed);
    }
    const auto separator = request.model.find(ADAPTER_SEPARATOR);
    if (separator != std::string::npos) {
        request.adapter = request.model.substr(separator + 1);
        request.model.resize(separator);
    }
    const auto *model = current.findModel(request.model);
    if (!model || (!request.adapter.empty() && !hasAdapter(*model, request.adapter))) {
        return make_error_code(failure::unknown_model);
    }
    const auto promptTokens = estimatePromptTokens(request);
    if (promptTokens >= model->contextTokens) {
        return make_error_code(failure::too_large);
    }
    const auto maxAllowed = std::min(model->maxOutputTokens, model->contextTokens - promptTokens);
    if (request.maxTokens > model->maxOutputTokens) {
        return make_error_code(failure::malformed_request);
    }
    request.maxTokens
        = request.maxTokens == 0 ? maxAllowed : std::min(request.maxTokens, maxAllowed);
    return request;
}

auto resolveCall(const manifest &current, const open_call &open) -> result<const team_entry *>
{
    const auto *team = current.findTeamByCredential(open.credentialSha256);
    if (!team) {
        return make_error_code(failure::unauthenticated);
    }
    const auto *service = current.findService(open.service);
    if (!service) {
        return make_error_code(failure::unknown_service);
    }
    if (!isRankAllowed(*team, service->workRank)) {
        return make_error_code(failure::rank_not_allowed);
    }
    return team;
}

} // namespace marjoram
