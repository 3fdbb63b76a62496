#include "manifest/manifestholder.h"
#include "manifest/manifestreader.h"

#include <doctest/doctest.h>

using namespace marjoram;

namespace {

auto sample(int version, const std::string &extra = "") -> std::string
{
    return R"({"format":1,"version":)" + std::to_string(version) + R"(,
      "ranks":{"urgent":{"least_share":0.5,"first_token_ms":490,"deadline_ms":5000},
               "standard":{"least_share":0.2,"first_token_ms":3000,"deadline_ms":60000}},
      "teams":[{"name":"clinic","highest_rank":"urgent","credential_sha256":[]}],
      "models":[{"name":"m","version":"1","context_tokens":100,"max_output_tokens":50,
                 "replicas":1,"adapters":[{"name":"a","version":"1"}]}],
      "backend_servers":[{"host":"h1","kind":"service","data_centre":"x"}],
      "services":[{"name":"booking","idempotent":false,"timeout_ms":1000,
                   "placements":[["h1"]]}],
      "weight_store":{"loads_per_minute":6})"
           + extra + "}";
}

} // namespace

TEST_CASE("a valid manifest is read completely")
{
    document_faults faults;
    const auto read = readManifest(sample(3), faults);
    REQUIRE(read);
    CHECK(read->version == 3);
    CHECK(read->findTeam("clinic")->highestRank == rank::urgent);
    CHECK(read->findModel("m")->adapters.front().name == "a");
    CHECK(read->findService("booking")->workRank == rank::urgent);
    CHECK(!read->findModel("none"));
}

TEST_CASE("every fault of a manifest is reported with its path")
{
    auto text = sample(1, R"(,"typo":1)");
    text.replace(text.find("\"urgent\",\"cred"), 8, "\"queen\"");
    text.replace(text.find("[[\"h1\"]]"), 8, "[[\"h9\"]]");
    document_faults faults;
    CHECK(!readManifest(text, faults));
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].path == "$.teams[0].highest_rank");
    CHECK(faults[1].error == document_error::dangling_reference);
    CHECK(faults[2].path == "$.typo");
}

TEST_CASE("the version in force never decreases")
{
    manifest_holder holder;
    CHECK(holder.offer(sample(5)) == offer_outcome::accepted);
    CHECK(holder.offer(sample(5)) == offer_outcome::same);
    CHECK(holder.offer(sample(4)) == offer_outcome::older);
    CHECK(holder.offer(sample(5, " ")) == offer_outcome::conflicting);
    CHECK(holder.offer("{}") == offer_outcome::invalid);
    CHECK(!holder.lastFaults().empty());
    CHECK(holder.version() == 5);
    CHECK(holder.offer(sample(6)) == offer_outcome::accepted);
}
