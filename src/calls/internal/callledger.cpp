#include "calls/callledger.h"

#include "calls/idempotencykey.h"

namespace marjoram {

call_ledger::call_ledger(call_ledger_options options, std::int64_t startedUnixMs)
    : m_options(options)
    , m_startedUnixMs(startedUnixMs)
{ }

auto call_ledger::begin(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
    -> call_decision
{
    const auto createdAtMs = keyCreatedAtMs(key);
    if (!createdAtMs) {
        return {.reason = failure::key_malformed};
    }
    removeExpired(nowUnixMs);
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        return checkEntry(known->second, bodyHash);
    }
    auto decision = checkKeyAge(*createdAtMs, nowUnixMs);
    if (decision.reason != failure::none) {
        return decision;
    }
    if (m_entries.size() >= m_options.entryLimit || m_bytes >= m_options.byteLimit) {
        return {.reason = failure::overloaded};
    }
    insert(key, *createdAtMs, {.bodyHash = bodyHash});
    return {.action = call_action::run};
}

auto call_ledger::checkEntry(const entry &known, std::uint64_t bodyHash) const -> call_decision
{
    if (known.state == entry_state::sealed) {
        // The owner for which the key was sealed may have run it since.
        return {.reason = failure::wrong_owner, .ran = run_state::unknown};
    }
    if (known.bodyHash != bodyHash) {
        return {.reason = failure::key_body_mismatch};
    }
    if (known.state == entry_state::completed) {
        return {
            .action = call_action::replay, .ran = run_state::completed, .answer = &known.answer};
    }
    if (known.state == entry_state::in_flight) {
        return {.reason = failure::key_in_flight, .ran = run_state::unknown};
    }
    return {.reason = failure::backend_server_failed, .ran = run_state::unknown};
}

auto call_ledger::checkKeyAge(std::int64_t createdAtMs, std::int64_t nowUnixMs) const
    -> call_decision
{
    if (createdAtMs > nowUnixMs + m_options.clockSkewMs) {
        return {.reason = failure::key_from_future};
    }
    if (createdAtMs < nowUnixMs - m_options.retentionMs) {
        return {.reason = failure::key_expired, .ran = run_state::unknown};
    }
    // An earlier process on this host may have run it.
    if (createdAtMs < m_startedUnixMs + m_options.clockSkewMs) {
        return {.reason = failure::owner_amnesia, .ran = run_state::unknown};
    }
    return {};
}

auto call_ledger::complete(const std::string &key, call_answer answer) -> void
{
    const auto known = m_entries.find(key);
    if (known == m_entries.end() || known->second.state != entry_state::in_flight) {
        return;
    }
    m_bytes += answer.body.size();
    known->second.state = entry_state::completed;
    known->second.answer = std::move(answer);
}

auto call_ledger::fail(const std::string &key, run_state ran) -> void
{
    const auto known = m_entries.find(key);
    if (known == m_entries.end() || known->second.state != entry_state::in_flight) {
        return;
    }
    if (ran == run_state::not_run) {
        m_entries.erase(known);
        return;
    }
    known->second.state = entry_state::unknown;
}

auto call_ledger::claim(const std::string &key, std::uint64_t bodyHash, std::int64_t nowUnixMs)
    -> claim_outcome
{
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        switch (known->second.state) {
        case entry_state::sealed:
            return claim_outcome::never_ran;
        case entry_state::completed:
            return known->second.bodyHash == bodyHash ? claim_outcome::completed
                                                      : claim_outcome::other_body;
        default:
            return claim_outcome::unknown;
        }
    }
    const auto createdAtMs = keyCreatedAtMs(key);
    if (!createdAtMs || checkKeyAge(*createdAtMs, nowUnixMs).reason != failure::none) {
        return claim_outcome::unknown;
    }
    insert(key, *createdAtMs, {.state = entry_state::sealed});
    return claim_outcome::never_ran;
}

auto call_ledger::isSealed(const std::string &key) const -> bool
{
    const auto known = m_entries.find(key);
    return known != m_entries.end() && known->second.state == entry_state::sealed;
}

auto call_ledger::answerOf(const std::string &key) const -> const call_answer *
{
    const auto known = m_entries.find(key);
    const auto has = known != m_entries.end() && known->second.state == entry_state::completed;
    return has ? &known->second.answer : nullptr;
}

auto call_ledger::insert(const std::string &key, std::int64_t createdAtMs, entry added) -> void
{
    // Kept until well after checkKeyAge() begins to refuse the key by itself.
    const auto expiresAtMs = createdAtMs + m_options.retentionMs + 2 * m_options.clockSkewMs;
    m_expiryOrder.push_back({.expiresAtMs = expiresAtMs, .key = key});
    m_entries.insert_or_assign(key, std::move(added));
}

auto call_ledger::removeExpired(std::int64_t nowUnixMs) -> void
{
    while (!m_expiryOrder.empty() && m_expiryOrder.front().expiresAtMs < nowUnixMs) {
        const auto known = m_entries.find(m_expiryOrder.front().key);
        if (known != m_entries.end()) {
            m_bytes -= known->second.answer.body.size();
            m_entries.erase(known);
        }
        m_expiryOrder.pop_front();
    }
}

} // namespace marjoram
