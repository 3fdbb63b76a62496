#include "backendservers/enginecodec.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

constexpr std::size_t FAR_TOO_MANY_BYTES = 1024 * 1024;

/// Whether the parser refuses the text when it is repeated without end.
auto refusesWithoutEnd(const std::string &text) -> bool
{
    engine_stream_parser parser;
    std::vector<std::string> tokens;
    for (std::size_t bytes = 0; bytes < FAR_TOO_MANY_BYTES; bytes += text.size()) {
        if (!parser.feed(text, tokens)) {
            return true;
        }
    }
    return false;
}

} // namespace

// They kept a generation and its memory for ever, since no silence ended the stream.
TEST_CASE("engine streams without end that hold no token are refused")
{
    CHECK(refusesWithoutEnd("\n"));
    CHECK(refusesWithoutEnd(": ping\n\n"));
    CHECK(refusesWithoutEnd("data: {\"choices\":[{\"text\":\"\"}]}\n\n"));
    CHECK(refusesWithoutEnd("x"));
}

TEST_CASE("an engine stream with tokens may be of any length")
{
    CHECK_FALSE(refusesWithoutEnd(": ping\n\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"));
}
