#pragma once

#include "framework/http/httptypes.h"
#include "framework/settings/objectreader.h"

namespace marjoram {

/// Reads a required "IP:PORT"; a fault is noted where it is none.
inline auto readEndpoint(object_reader &from, std::string_view key) -> endpoint
{
    const auto text = from.text(key);
    const auto parsed = parseEndpoint(text);
    if (!parsed && !text.empty()) {
        from.fault(key, document_error::out_of_range, parsed.error().message());
    }
    return parsed ? *parsed : endpoint{};
}

} // namespace marjoram
