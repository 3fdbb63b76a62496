#include "framework/eventlog/eventlog.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("a line is one JSON object with its event, request and fields")
{
    const log_line line{.event = log_event::request_sent,
                        .unixMs = 5,
                        .requestId = "9c\"41",
                        .fields = {{"server", std::string("i-7")}, {"age_ms", std::int64_t{12}}}};
    CHECK(toJsonLine(line, "front-1")
          == R"({"at_ms":5,"host":"front-1","event":"request_sent","request":"9c\"41",)"
             R"("server":"i-7","age_ms":12})");
}

TEST_CASE("a full ring drops lines and counts them")
{
    event_log log({.host = "front-1", .ringCapacity = 2});
    auto writer = log.addWriter();
    for (int i = 0; i < 5; ++i) {
        writer.write(log_event::caller_left, {});
    }
    CHECK(log.metrics().value(log_metric::lines_dropped) == 3);
}
