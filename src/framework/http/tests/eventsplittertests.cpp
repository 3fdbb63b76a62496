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
