#pragma once

#include "framework/global/clock.h"
#include "framework/global/retryschedule.h"
#include "framework/http/httpfetch.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace marjoram {

/// Options of a document_watch.
struct document_watch_options
{
    endpoint service;
    std::string path;
    /// Longest time for which the service holds a watch without a newer version.
    std::chrono::milliseconds watchTimeout{2'000};
    /// Time until an answer begins, beyond that, and between its parts.
    std::chrono::milliseconds answerTimeout{900};
    /// Processes start to read at the same moment: the pauses are drawn from a wide range. A
    /// service that is back is read in time for a document to be in force everywhere within 5 s.
    retry_schedule_options retry{.minRetryUs = 1 * US_PER_MS,
                                 .maxRetryUs = 1'000 * US_PER_MS,
                                 .maxBackoffUs = 1'000 * US_PER_MS,
                                 .maxReturnUs = 3'500 * US_PER_MS};
};

/// Reads a published document and watches it by long polling. Calls `onDocument(watch, text)` of
/// its owner for a newer version and `onConfirmed(watch)` if there is none; asks it for
/// `wantsWatch()`, `wantsRead()` and `versionOf(watch)`. Not thread safe: lives on the owner's
/// io_context.
template <typename Owner>
class document_watch
{
public:
    document_watch(boost::asio::io_context &context, document_watch_options options,
                   std::uint64_t seed, Owner &owner)
        : m_context(context)
        , m_options(std::move(options))
        , m_random(seed)
        , m_owner(owner)
        , m_schedule(m_options.retry)
        , m_timer(context)
    { }
    ~document_watch()
    {
        if (m_fetch) {
            m_fetch->cancel();
        }
    }

    auto start() -> void
    {
        m_schedule.start(m_clock.now());
        read(false);
    }

    // --- called by the fetch

    auto onBody(std::string_view bytes) -> body_verdict
    {
        if (m_body.size() + bytes.size() > BODY_LIMIT_BYTES) {
            return body_verdict::refuse;
        }
        m_body.append(bytes);
        m_schedule.onProgress(m_clock.now());
        return body_verdict::take;
    }
    auto onDone(const fetch_outcome &outcome) -> void
    {
        constexpr int OK = 200;
        constexpr int NO_CONTENT = 204;
        m_fetch.reset();
        const auto now = m_clock.now();
        if (outcome.error || (outcome.status != OK && outcome.status != NO_CONTENT)) {
            scheduleRead(m_schedule.onFailed(now, m_random) - now);
            return;
        }
        m_schedule.onAnswered(now);
        if (outcome.status == OK) {
            const auto before = m_owner.versionOf(*this);
            m_owner.onDocument(*this, m_body);
            if (m_owner.versionOf(*this) == before) {
                // The owner refused the document, and the service would give it again at once.
                scheduleRead(m_schedule.onUnusable(now, m_random) - now);
                return;
            }
        } else {
            m_owner.onConfirmed(*this);
        }
        scheduleRead(m_owner.wantsWatch() ? 0 : IDLE_CHECK_US);
    }

private:
    static constexpr std::size_t BODY_LIMIT_BYTES = 2 * 1024 * 1024;
    static constexpr std::int64_t IDLE_CHECK_US = 1'000 * US_PER_MS;

    auto read(bool longPoll) -> void
    {
        m_body.clear();
        m_schedule.onCalled(m_clock.now());
        auto target = m_options.path + "?after=" + std::to_string(m_owner.versionOf(*this));
        if (longPoll) {
            target += "&wait_ms=" + std::to_string(m_options.watchTimeout.count());
        }
        m_fetch = std::make_shared<http_fetch<document_watch>>(
            m_context, *this,
            fetch_options{.answer = answer_deadline_options{.silenceUs = toUs(
                                                                m_options.answerTimeout.count())},
                          .answerWaitUs = longPoll ? toUs(m_options.watchTimeout.count()) : 0});
        m_fetch->start(m_options.service, {.target = std::move(target)});
    }
    auto scheduleRead(std::int64_t pauseUs) -> void
    {
        m_timer.expires_after(std::chrono::microseconds(pauseUs));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (m_owner.wantsWatch()) {
                read(true);
            } else if (m_owner.wantsRead()) {
                read(false);
            } else {
                scheduleRead(IDLE_CHECK_US);
            }
        });
    }

    boost::asio::io_context &m_context;
    document_watch_options m_options;
    random_source m_random;
    Owner &m_owner;
    system_clock_source m_clock;
    retry_schedule m_schedule;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<http_fetch<document_watch>> m_fetch;
    std::string m_body;
};

} // namespace marjoram
