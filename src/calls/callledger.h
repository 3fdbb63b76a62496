#pragma once

#include "framework/global/clock.h"
#include "framework/global/failure.h"
#include "innerprotocol/frames.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace marjoram {

struct call_ledger_options
{
    /// How long an answer is kept and replayed. Older keys are refused as expired.
    std::int64_t retentionMs = 15 * 60 * MS_PER_SECOND;
    /// Largest clock difference tolerated between any two hosts.
    std::int64_t clockSkewMs = 5 * MS_PER_SECOND;
    std::size_t entryLimit = 200'000;
    /// Limit on the total size of the kept answer bodies.
    std::size_t byteLimit = 64 * 1024 * 1024;
};

/// A service's answer to one call.
struct call_answer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// What to do with a call that carries an idempotency key.
enum class call_action { run, replay, refuse };
inline constexpr std::array callActionNames{
    enum_name<call_action>{call_action::run, "run"},
    enum_name<call_action>{call_action::replay, "replay"},
    enum_name<call_action>{call_action::refuse, "refused"},
};
constexpr auto namesOf(call_action) -> const auto &
{
    return callActionNames;
}

struct call_decision
{
    call_action action = call_action::refuse;
    /// Why the call is refused.
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    /// Set for `replay`. Valid until the ledger changes.
    const call_answer *answer = nullptr;
};

/// Records calls to non-idempotent services so that each idempotency key runs at most once.
///
/// A key is removed only after its creation time alone is enough to refuse it. The ledger is not
/// persistent, so a new process refuses every key that could have been created before it started.
/// Not thread safe.
class call_ledger
{
public:
    /// `startedUnixMs`: when this process started, by the wall clock.
    call_ledger(call_ledger_options options, std::int64_t startedUnixMs);

    /// Decides what to do with a key. After `run` the key is in flight until complete() or fail().
    auto begin(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
        -> call_decision;
    /// Stores the answer of a key that is in flight.
    auto complete(const std::string &key, call_answer answer) -> void;
    /// Ends a key in flight without an answer. The key may run again only after `not_run`;
    /// otherwise its outcome stays unknown.
    auto fail(const std::string &key, run_state ran) -> void;
    /// Answers the claim of a key's new owner. A key not seen before is sealed: it will never run
    /// here.
    auto claim(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
        -> claim_outcome;
    /// Whether this process has promised never to run the key.
    auto isSealed(const std::string &key) const -> bool;
    /// Answer of a completed key, or null. Valid until the ledger changes.
    auto answerOf(const std::string &key) const -> const call_answer *;
    auto size() const -> std::size_t { return m_entries.size(); }

private:
    enum class entry_state { in_flight, completed, unknown, sealed };
    struct entry
    {
        entry_state state = entry_state::in_flight;
        std::uint64_t bodyHash = 0;
        call_answer answer;
    };

    auto checkEntry(const entry &known, std::uint64_t bodyHash) const -> call_decision;
    auto checkKeyAge(std::int64_t createdAtMs, std::int64_t nowUnixMs) const -> call_decision;
    auto insert(const std::string &key, std::int64_t createdAtMs, entry added) -> void;
    auto removeExpired(std::int64_t nowUnixMs) -> void;

    call_ledger_options m_options;
    std::int64_t m_startedUnixMs;
    std::unordered_map<std::string, entry> m_entries;
    struct expiring_key
    {
        std::int64_t expiresAtMs = 0;
        std::string key;
    };
    std::deque<expiring_key> m_expiryOrder;
    std::size_t m_bytes = 0;
};

} // namespace marjoram
