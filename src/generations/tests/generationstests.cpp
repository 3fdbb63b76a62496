#include "generations/eventid.h"
#include "generations/tokensequencer.h"

#include <doctest/doctest.h>

using namespace marjoram;

TEST_CASE("the sequencer delivers each position once, in order, from the current attempt")
{
    token_sequencer sequencer;
    sequencer.beginAttempt(1);
    std::vector<std::string> batch{"a", "b"};
    CHECK(sequencer.accept(1, 0, batch) == sequence_outcome::delivered);
    batch = {"b", "c"};
    CHECK(sequencer.accept(1, 1, batch) == sequence_outcome::delivered);
    CHECK(batch == std::vector<std::string>{"c"});
    batch = {"a"};
    CHECK(sequencer.accept(1, 0, batch) == sequence_outcome::duplicate);
    batch = {"e"};
    CHECK(sequencer.accept(1, 4, batch) == sequence_outcome::gap);
    sequencer.beginAttempt(2);
    batch = {"d"};
    CHECK(sequencer.accept(1, 3, batch) == sequence_outcome::superseded);
    CHECK(sequencer.accept(2, 3, batch) == sequence_outcome::delivered);
    CHECK(sequencer.nextPosition() == 4);
}

TEST_CASE("an event id survives a round trip, and malformed text is rejected")
{
    const event_id id{.generation = {.high = 3, .low = 9}, .host = "fuk-r-1", .position = 77};
    const auto parsed = parseEventId(toText(id));
    REQUIRE(parsed.has_value());
    CHECK(parsed->host == "fuk-r-1");
    CHECK(parsed->position == 77);
    for (const auto *malformed :
         {"", "x", "00000000000000000000000000000001", "00000000000000000000000000000001-",
          "0000000000000000000000000000000g-1-h", "00000000000000000000000000000001-5-",
          "00000000000000000000000000000001-x-h"}) {
        CHECK(parseEventId(malformed).has_error());
    }
}
