#pragma once

#include "framework/global/enumnames.h"

#include <cstdint>
#include <string>

namespace marjoram {

enum class order_kind { load_model, unload_model };
inline constexpr std::array orderKindNames{
    enum_name<order_kind>{order_kind::load_model, "load_model"},
    enum_name<order_kind>{order_kind::unload_model, "unload_model"},
};
constexpr auto namesOf(order_kind) -> const auto &
{
    return orderKindNames;
}

/// Tells an engine to load or unload a model. An engine that checks fencing tokens refuses an order
/// whose token is below the highest one seen.
struct engine_order
{
    order_kind kind = order_kind::load_model;
    std::string model;
    std::string version;
    std::uint64_t fence = 0;
};

enum class order_outcome { done, refused_old_fence, failed };
inline constexpr std::array orderOutcomeNames{
    enum_name<order_outcome>{order_outcome::done, "done"},
    enum_name<order_outcome>{order_outcome::refused_old_fence, "refused_old_fence"},
    enum_name<order_outcome>{order_outcome::failed, "failed"},
};
constexpr auto namesOf(order_outcome) -> const auto &
{
    return orderOutcomeNames;
}

} // namespace marjoram
