#pragma once

#include "standins/standinsettings.h"

#include <boost/asio/io_context.hpp>

namespace marjoram {

/// Runs the role that the settings name until the context is stopped. Returns the listener's
/// error, if any. Precondition: called on the thread that will run the context.
auto runStandin(boost::asio::io_context &context, const standin_settings &settings)
    -> std::error_code;

} // namespace marjoram
