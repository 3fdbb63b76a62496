#pragma once

#include "framework/global/clock.h"
#include "framework/global/failure.h"
#include "innerprotocol/frames.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace marjoram {

/// Options of a call ledger.
struct call_ledger_options
{
    /// Time for which an answer is kept and its key may be used again.
    std::int64_t retentionMs = 15 * 60 * MS_PER_SECOND;
    /// Largest difference between any two hosts' clocks that is reckoned with.
    std::int64_t clockSkewMs = 5 * MS_PER_SECOND;
    std::size_t entryLimit = 200'000;
    /// Bytes of answers kept in all.
    std::size_t byteLimit = 64 * 1024 * 1024;
};

/// Answer of a service to one call.
struct call_answer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// What the ledger decides on a call that carries a key.
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

/// A verdict with its reason.
struct call_decision
{
    call_action action = call_action::refuse;
    failure reason = failure::none;
    run_state ran = run_state::not_run;
    /// Set for `replay`; valid until the ledger changes.
    const call_answer *answer = nullptr;
};

/// Remembers every call that may not be repeated and lets each key run at most once. It forgets a
/// key only once its minting time alone forbids running it; a process that starts with an empty
/// ledger refuses every key that could have been minted before. Not thread safe.
class call_ledger
{
public:
    /// `startedUnixMs`: start of this process by the wall clock.
    call_ledger(call_ledger_options options, std::int64_t startedUnixMs);

    /// Judges a key; after `run` the key is in flight until complete() or abandon().
    auto begin(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
        -> call_decision;
    /// Keeps the answer of a key in flight.
    auto complete(const std::string &key, call_answer answer) -> void;
    /// The call failed: `not_run` frees the key, anything else pins it as unknown.
    auto fail(const std::string &key, run_state ran) -> void;
    /// A new owner asks; a key never seen is sealed here and will never run.
    auto claim(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
        -> claim_outcome;
    /// Whether a key has been promised never to run here.
    auto isSealed(const std::string &key) const -> bool;
    /// Answer of a completed key, or null.
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
