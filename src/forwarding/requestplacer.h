#pragma once

#include "forwarding/forwardingoptions.h"
#include "forwarding/forwardrings.h"
#include "forwarding/placement.h"
#include "forwarding/requeststate.h"
#include "framework/global/timerqueue.h"
#include "serverviews/serverdirectory.h"

#include <unordered_map>

namespace marjoram {

/// What the placer asks of the decisions around it.
template <typename H>
concept placement_host
    = requires(H &host, request_state &request, const std::string &id, const endpoint &server,
               reporter_command command, log_event event, std::vector<log_field> fields)
{
    host.send(request, id, server, std::nullopt);
    host.toReporter(command);
    {
        host.nextAskId()
        } -> std::same_as<std::uint64_t>;
    host.onNoRoom(request);
    host.log(event, request, fields);
    host.observe(latency_kind::room_question, std::int64_t{});
    {
        host.findRequest(std::uint64_t{})
        } -> std::same_as<request_state *>;
};

/// Finds a server for each request: chooses by what is known, asks the reporter beside an engine
/// whether there is room, and keeps a request for a short time when there is none.
/// Not thread safe: belongs to one duty.
template <placement_policy Placement, clock_source Clock, typename Host>
class request_placer
{
public:
    /// Precondition: options, directory and host outlive the placer.
    request_placer(const forwarding_options &options, Clock clock, std::uint64_t seed,
                   server_directory &directory, Host &host)
        : m_options(options)
        , m_clock(clock)
        , m_random(seed)
        , m_directory(directory)
        , m_host(host)
    {
        static_assert(placement_host<Host>);
    }

    /// Entries that choose by the same reports.
    auto setEntries(std::uint32_t entries) -> void { m_entries = entries; }
    auto placeOrWait(request_state &request) -> void
    {
        if (!place(request)) {
            wait(request);
        }
    }
    /// The same, as if the request had not been placed before.
    auto placeAnew(request_state &request) -> void
    {
        request.question = {};
        placeOrWait(request);
    }
    /// The answer to a question of the placer's; others are not its own.
    auto onRoomReply(const room_replied &replied) -> void
    {
        const auto found = m_requestOfAsk.find(replied.askId);
        auto *request = found == m_requestOfAsk.end() ? nullptr : m_host.findRequest(found->second);
        if (!request) {
            return;
        }
        endQuestion(*request);
        auto &question = request->question;
        question.last = replied.verdict;
        m_host.observe(latency_kind::room_question, m_clock.now() - question.askedAt);
        if (replied.verdict == room_verdict::granted) {
            m_host.send(*request, std::string(question.serverId), endpoint(question.server),
                        std::nullopt);
            return;
        }
        question.full.push_back(replied.serverId);
        placeOrWait(*request);
    }
    /// The request no longer looks for a server.
    auto forget(request_state &request) -> void
    {
        endQuestion(request);
        m_timers.cancel({timer_kind::room, request.number});
        m_timers.cancel({timer_kind::again, request.number});
    }
    /// Server with room for a request; for a move of a running one, its own server is left out.
    auto roomFor(const request_state &request, bool moving) -> const server_view *
    {
        auto avoided = moving ? request.fullTargets : request.avoided;
        if (moving) {
            avoided.push_back(request.run.serverId);
            avoided.insert(avoided.end(), request.busyTargets.begin(), request.busyTargets.end());
        } else {
            const auto &full = request.question.full;
            avoided.insert(avoided.end(), full.begin(), full.end());
        }
        // Work that cannot be tried elsewhere is not risked on a server that has just failed.
        const auto once = request.route->kind == work_kind::at_most_once;
        const auto usable = m_directory.usableFor(request.pool->name, m_clock.now(), once);
        const auto held = request.promptTokens() + request.producedTokens();
        const auto *source = moving ? m_directory.find(request.run.serverId) : nullptr;
        const placement_ask ask{.dataCentre
                                = source ? source->entry.dataCentre : m_options.dataCentre,
                                .pool = request.pool,
                                .avoided = &avoided,
                                .generation = request.generation(),
                                .moving = moving,
                                .tokensExpected = moving ? held : expectedTokens(request),
                                .entries = m_entries,
                                .now = m_clock.now()};
        return Placement::choose(ask, usable, m_random);
    }
    auto expectedTokens(const request_state &request) const -> std::uint64_t
    {
        const auto &ask = request.request->generation;
        const auto share = static_cast<double>(ask.mostOutputTokens) * m_options.assumedOutputShare;
        const auto output = std::min(ask.outputEstimate.value_or(static_cast<std::uint32_t>(share)),
                                     ask.mostOutputTokens);
        return ask.promptTokens + std::max(output, request.producedTokens());
    }

    auto nextTimer() const -> std::optional<time_us> { return m_timers.next(); }
    auto onTimer() -> void
    {
        while (const auto key = m_timers.popDue(m_clock.now())) {
            auto *request = m_host.findRequest(key->number);
            if (!request) {
                continue;
            }
            switch (key->kind) {
            case timer_kind::room:
                m_host.onNoRoom(*request);
                break;
            case timer_kind::question:
                onUnanswered(*request);
                break;
            case timer_kind::again:
                placeAnew(*request);
                break;
            }
        }
    }

private:
    enum class timer_kind { room, question, again };
    struct timer_key
    {
        timer_kind kind;
        std::uint64_t number;
        friend auto operator<=>(const timer_key &, const timer_key &)
            -> std::strong_ordering = default;
    };

    /// Sends the request, or asks a reporter for room; false when no server seems to have room.
    auto place(request_state &request) -> bool
    {
        auto &question = request.question;
        const auto *view = request.pool && question.count < m_options.questions
                               ? roomFor(request, false)
                               : nullptr;
        if (!view) {
            return false;
        }
        question.serverId = view->entry.id;
        question.server = view->entry.address;
        const auto reports = view->report && m_clock.now() - view->reportAt < m_options.reporterUs;
        if (!request.generation() || !reports || question.unanswered >= m_options.unanswered) {
            m_host.send(request, std::string(question.serverId), endpoint(question.server),
                        std::nullopt);
        } else {
            ask(request);
        }
        return true;
    }
    auto ask(request_state &request) -> void
    {
        request.phase = request_phase::asking;
        request.question.askId = m_host.nextAskId();
        request.question.askedAt = m_clock.now();
        ++request.question.count;
        m_requestOfAsk.emplace(request.question.askId, request.number);
        m_timers.set({timer_kind::question, request.number}, m_clock.now() + m_options.questionUs);
        m_host.toReporter(ask_room{.askId = request.question.askId,
                                   .serverId = request.question.serverId,
                                   .requestId = request.request->requestId,
                                   .expectedTokens = expectedTokens(request),
                                   .outputTokens = expectedTokens(request) - request.promptTokens(),
                                   .promptsAhead = promptsAllowed(request)});
    }
    /// Prompts that may be read before this one without missing the latency target.
    auto promptsAllowed(const request_state &request) const -> std::uint32_t
    {
        const auto us = static_cast<double>(request.route->latencyTargetMs * US_PER_MS);
        return static_cast<std::uint32_t>(us * m_options.promptShare
                                          / static_cast<double>(m_options.promptUs));
    }
    auto endQuestion(request_state &request) -> void
    {
        m_requestOfAsk.erase(request.question.askId);
        m_timers.cancel({timer_kind::question, request.number});
    }
    auto onUnanswered(request_state &request) -> void
    {
        endQuestion(request);
        ++request.question.unanswered;
        placeOrWait(request);
    }
    /// Keeps the request until there is room, for a short time; entries try again at random times,
    /// so that not all of them ask at once when room appears.
    auto wait(request_state &request) -> void
    {
        const auto now = m_clock.now();
        request.phase = request_phase::waiting;
        if (!request.waitUntil) {
            const auto us = m_options.waitShare
                            * static_cast<double>(request.route->latencyTargetMs * US_PER_MS);
            request.waitUntil = now + static_cast<std::int64_t>(us);
            m_host.log(log_event::request_waiting, request,
                       {{"route", request.route->name},
                        {"questions", static_cast<std::int64_t>(request.question.count)},
                        {"room", std::string(nameOf(request.question.last))}});
        }
        if (now >= *request.waitUntil) {
            m_host.onNoRoom(request);
            return;
        }
        m_timers.set({timer_kind::room, request.number}, *request.waitUntil);
        const auto width
            = static_cast<std::uint64_t>(m_options.mostAgainUs - m_options.leastAgainUs);
        m_timers.set({timer_kind::again, request.number},
                     now + m_options.leastAgainUs + static_cast<std::int64_t>(m_random() % width));
    }

    const forwarding_options &m_options;
    Clock m_clock;
    random_source m_random;
    server_directory &m_directory;
    Host &m_host;
    timer_queue<timer_key> m_timers;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requestOfAsk;
    std::uint32_t m_entries = 1;
};

} // namespace marjoram
