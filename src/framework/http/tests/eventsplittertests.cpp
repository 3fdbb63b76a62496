#include "framework/http/eventsplitter.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("events are cut at blank lines wherever the bytes are torn")
{
    const std::string text = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        event_splitter splitter;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < text.size(); at += step) {
            REQUIRE(splitter.feed(std::string_view(text).substr(at, step), events));
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 7);
        CHECK(events[1].id == 8);
        CHECK_FALSE(events[2].id);
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes == text);
        CHECK_FALSE(splitter.midEvent());
    }
}

TEST_CASE("an event that has not ended is known, and one without an end is refused")
{
    event_splitter splitter;
    std::vector<stream_event> events;
    CHECK(splitter.feed("id: 1\nda", events));
    CHECK(splitter.midEvent());
    CHECK(events.empty());
    const std::string endless(event_splitter::EVENT_LIMIT_BYTES + 1, 'x');
    CHECK_FALSE(splitter.feed(endless, events));
}

TEST_CASE("comments between events are taken, without end they are refused")
{
    event_splitter splitter;
    std::vector<stream_event> events;
    const std::string comment = ":" + std::string(1'000, 'x') + "\n\n";
    for (std::size_t i = 0; i < 4; ++i) {
        for (std::size_t bytes = 0; bytes < event_splitter::EVENT_LIMIT_BYTES / 2;
             bytes += comment.size()) {
            REQUIRE(splitter.feed(comment, events));
        }
        REQUIRE(splitter.feed("id: 1\ndata: x\n\n", events));
    }
    auto taken = true;
    for (std::size_t bytes = 0; taken && bytes <= 2 * event_splitter::EVENT_LIMIT_BYTES;
         bytes += comment.size()) {
        taken = splitter.feed(comment, events);
    }
    CHECK_FALSE(taken);
}
