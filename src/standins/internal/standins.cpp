#include "standins/standins.h"

#include "standins/internal/enginestandin.h"
#include "standins/internal/publisherstandin.h"
#include "standins/internal/servicestandin.h"

namespace marjoram {

namespace {

template <typename Role>
auto runRole(boost::asio::io_context &context, const standin_settings &settings) -> std::error_code
{
    Role role(context, settings);
    const auto listening = role.listen();
    if (!listening) {
        return listening.error();
    }
    context.run();
    return {};
}

} // namespace

auto runStandin(boost::asio::io_context &context, const standin_settings &settings)
    -> std::error_code
{
    switch (settings.role) {
    case standin_role::engine:
        return runRole<engine_standin>(context, settings);
    case standin_role::service:
        return runRole<service_standin>(context, settings);
    case standin_role::publisher:
        return runRole<publisher_standin>(context, settings);
    }
    return {};
}

} // namespace marjoram
