#include "load/loadrunner.h"

#include "calls/idempotencykey.h"
#include "framework/global/clock.h"
#include "framework/http/httpfetch.h"
#include "load/answerchecker.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <unordered_map>

namespace marjoram {

namespace json = boost::json;

namespace {

constexpr int HTTP_OK = 200;
constexpr double US_TO_MS = 1e-3;

/// Growing record of one stream.
struct stream_record
{
    load_stream_report report;
    std::vector<float> firstToken;
    std::vector<float> betweenTokens;
    std::vector<float> wholeAnswer;
};

auto quantilesOf(std::vector<float> &values) -> load_quantiles
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {.p50 = at(0.5), .p95 = at(0.95), .p99 = at(0.99), .count = values.size()};
}

class runner;

/// One request on its way.
struct request_state
{
    runner &owner;
    std::uint64_t id;
    const load_stream &stream;
    stream_record &record;
    std::uint32_t length;
    std::string key;
    std::string firstAnswer;
    time_us askedAt;
    time_us lastTokenAt;
    bool again = false;
    std::string rest;
    std::string body;
    answer_checker checker;
    bool done = false;
    std::shared_ptr<http_fetch<request_state>> fetch;

    auto onBody(std::string_view bytes) -> body_verdict;
    auto onDone(const fetch_outcome &outcome) -> void;
    auto takeEvent(std::string_view data) -> void;
};

class runner
{
public:
    runner(const load_scenario &scenario, std::uint32_t graceMs, bool showProgress)
        : m_scenario(scenario)
        , m_graceMs(graceMs)
        , m_showProgress(showProgress)
        , m_random(scenario.seed)
        , m_records(scenario.streams.size())
        , m_endTimer(m_context)
        , m_progressTimer(m_context)
    {
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            m_records[i].report.name = scenario.streams[i].name;
            m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_context));
        }
    }

    auto run() -> load_report
    {
        m_startedAt = m_clock.now();
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            arriveLater(i);
        }
        m_endTimer.expires_after(std::chrono::milliseconds(m_scenario.durationMs));
        m_endTimer.async_wait([this](boost::system::error_code) { endArrivals(); });
        progressLater();
        m_context.run();
        return collect();
    }

    auto context() -> boost::asio::io_context & { return m_context; }
    auto now() const -> time_us { return m_clock.now(); }
    auto finish(request_state &state) -> void
    {
        if (state.stream.kind == load_kind::call && !state.again && !state.firstAnswer.empty()
            && std::bernoulli_distribution(state.stream.retryShare)(m_random)) {
            sendCall(state.stream, state.record, state.key, state.firstAnswer);
        }
        m_open.erase(state.id);
        if (m_arrivalsOver && m_open.empty()) {
            m_context.stop();
        }
    }

private:
    auto arriveLater(std::size_t index) -> void
    {
        const auto &stream = m_scenario.streams[index];
        std::exponential_distribution<double> gaps(stream.perSecond / stream.burst);
        auto &timer = *m_timers[index];
        timer.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(gaps(m_random) * US_PER_SECOND)));
        timer.async_wait([this, index](boost::system::error_code error) {
            if (error || m_arrivalsOver) {
                return;
            }
            for (std::uint32_t i = 0; i < m_scenario.streams[index].burst; ++i) {
                arrive(index);
            }
            arriveLater(index);
        });
    }
    auto arrive(std::size_t index) -> void
    {
        const auto &stream = m_scenario.streams[index];
        auto &record = m_records[index];
        if (stream.kind == load_kind::call) {
            sendCall(stream, record, generateKey(m_clock.unixMs(), m_random), {});
            return;
        }
        std::lognormal_distribution<double> lengths(std::log(stream.medianLength),
                                                    stream.lengthSpread);
        const auto length = 1 + static_cast<std::uint32_t>(std::round(lengths(m_random) - 1.0));
        const auto prefix = stream.prefixes > 0 ? m_random() % stream.prefixes : m_random();
        auto prompt = stream.name + " " + std::to_string(prefix) + " ";
        prompt.resize(std::max<std::size_t>(prompt.size(), stream.promptBytes), '.');
        prompt += "[len=" + std::to_string(length) + "]";
        const json::object body{{"model", m_scenario.model}, {"prompt", prompt}, {"stream", true}};
        send(stream, record, length, {}, {},
             {.method = "POST",
              .target = "/v1/completions",
              .headers = {{"X-Marjoram-Rank", std::string(nameOf(stream.workRank))}},
              .body = json::serialize(body)});
    }
    auto sendCall(const load_stream &stream, stream_record &record, std::string key,
                  std::string firstAnswer) -> void
    {
        http_request request{.method = "POST",
                             .target = "/v1/services/" + m_scenario.service + "/load",
                             .headers = {{"Idempotency-Key", key}},
                             .body = key};
        send(stream, record, 0, std::move(key), std::move(firstAnswer), std::move(request));
    }
    auto send(const load_stream &stream, stream_record &record, std::uint32_t length,
              std::string key, std::string firstAnswer, http_request request) -> void
    {
        const auto id = ++m_lastId;
        const auto again = !firstAnswer.empty();
        ++record.report.asked;
        request.headers.push_back({"Authorization", "Bearer " + stream.credential});
        auto state = std::make_unique<request_state>(
            request_state{*this, id, stream, record, length, std::move(key), std::move(firstAnswer),
                          m_clock.now(), m_clock.now(), again});
        state->fetch = std::make_shared<http_fetch<request_state>>(
            m_context, *state,
            fetch_options{.connectTimeout = std::chrono::seconds(5),
                          .readTimeout = std::chrono::seconds(120)});
        const auto &entry = m_scenario.entries[m_random() % m_scenario.entries.size()];
        state->fetch->start(entry, std::move(request));
        m_open.emplace(id, std::move(state));
        m_mostOpen = std::max<std::uint64_t>(m_mostOpen, m_open.size());
    }
    auto endArrivals() -> void
    {
        m_arrivalsOver = true;
        if (m_open.empty()) {
            m_context.stop();
            return;
        }
        m_endTimer.expires_after(std::chrono::milliseconds(m_graceMs));
        m_endTimer.async_wait([this](boost::system::error_code) { m_context.stop(); });
    }
    auto progressLater() -> void
    {
        if (!m_showProgress) {
            return;
        }
        m_progressTimer.expires_after(std::chrono::seconds(2));
        m_progressTimer.async_wait([this](boost::system::error_code) {
            std::uint64_t tokens = 0;
            std::uint64_t violations = 0;
            for (const auto &record : m_records) {
                tokens += record.report.tokens;
                violations += record.report.violations;
            }
            std::cerr << "open " << m_open.size() << ", tokens " << tokens << ", violations "
                      << violations << std::endl;
            progressLater();
        });
    }
    auto collect() -> load_report
    {
        load_report out{.seconds = static_cast<double>(m_clock.now() - m_startedAt)
                                   / static_cast<double>(US_PER_SECOND),
                        .mostOpen = m_mostOpen};
        for (const auto &[id, state] : m_open) {
            ++state->record.report.broken;
        }
        for (auto &record : m_records) {
            record.report.firstToken = quantilesOf(record.firstToken);
            record.report.betweenTokens = quantilesOf(record.betweenTokens);
            record.report.wholeAnswer = quantilesOf(record.wholeAnswer);
            out.streams.push_back(record.report);
        }
        return out;
    }

    const load_scenario &m_scenario;
    std::uint32_t m_graceMs;
    bool m_showProgress;
    boost::asio::io_context m_context{1};
    system_clock_source m_clock;
    random_source m_random;
    std::vector<stream_record> m_records;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    boost::asio::steady_timer m_endTimer;
    boost::asio::steady_timer m_progressTimer;
    std::unordered_map<std::uint64_t, std::unique_ptr<request_state>> m_open;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_mostOpen = 0;
    time_us m_startedAt;
    bool m_arrivalsOver = false;
};

auto request_state::onBody(std::string_view bytes) -> body_verdict
{
    if (stream.kind == load_kind::call || fetch->status() != HTTP_OK) {
        body.append(bytes);
        return body_verdict::take;
    }
    constexpr std::string_view DATA = "data: ";
    rest.append(bytes);
    std::size_t taken = 0;
    for (auto end = rest.find('\n'); end != std::string::npos; end = rest.find('\n', taken)) {
        const auto line = std::string_view(rest).substr(taken, end - taken);
        taken = end + 1;
        if (line.starts_with(DATA)) {
            takeEvent(line.substr(DATA.size()));
        }
    }
    rest.erase(0, taken);
    return body_verdict::take;
}

auto request_state::takeEvent(std::string_view data) -> void
{
    if (data == "[DONE]") {
        done = true;
        return;
    }
    boost::system::error_code error;
    const auto event = json::parse(data, error);
    const auto *choices
        = error || !event.is_object() ? nullptr : event.get_object().if_contains("choices");
    if (!choices) {
        return;
    }
    const auto *text = choices->at(0).as_object().if_contains("text");
    if (!text || !text->is_string()) {
        return;
    }
    const auto before = checker.tokens();
    checker.feed(std::string_view(text->get_string()));
    const auto count = checker.tokens() - before;
    if (count == 0) {
        return;
    }
    const auto gapMs
        = static_cast<float>(static_cast<double>(owner.now() - lastTokenAt) * US_TO_MS);
    (before == 0 ? record.firstToken : record.betweenTokens).push_back(gapMs);
    lastTokenAt = owner.now();
    record.report.tokens += count;
}

auto request_state::onDone(const fetch_outcome &outcome) -> void
{
    auto &report = record.report;
    const auto answered = !outcome.error && outcome.status == HTTP_OK;
    if (!answered && checker.tokens() == 0) {
        ++(outcome.error ? report.broken : report.refused);
    } else if (stream.kind == load_kind::call) {
        ++report.whole;
        report.violations += again && body != firstAnswer ? 1 : 0;
        firstAnswer = body;
    } else if (!done) {
        ++report.broken;
        report.violations += checker.sound() ? 0 : 1;
    } else {
        ++report.whole;
        report.violations += checker.sound() && checker.tokens() == length ? 0 : 1;
    }
    if (answered) {
        record.wholeAnswer.push_back(
            static_cast<float>(static_cast<double>(owner.now() - askedAt) * US_TO_MS));
    }
    owner.finish(*this);
}

auto toJsonValue(const load_quantiles &quantiles) -> json::object
{
    return {{"p50_ms", quantiles.p50},
            {"p95_ms", quantiles.p95},
            {"p99_ms", quantiles.p99},
            {"count", quantiles.count}};
}

} // namespace

auto load_report::violations() const -> std::uint64_t
{
    std::uint64_t out = 0;
    for (const auto &stream : streams) {
        out += stream.violations;
    }
    return out;
}

auto runLoad(const load_scenario &scenario, std::uint32_t graceMs, bool showProgress) -> load_report
{
    return runner(scenario, graceMs, showProgress).run();
}

auto toText(const load_report &report) -> std::string
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << report.seconds << " s, at most " << report.mostOpen
        << " requests open\n";
    const auto show = [&out](const char *what, const load_quantiles &quantiles) {
        if (quantiles.count > 0) {
            out << "  " << what << " p50 " << quantiles.p50 << " p95 " << quantiles.p95 << " p99 "
                << quantiles.p99 << " ms\n";
        }
    };
    for (const auto &stream : report.streams) {
        out << stream.name << ": asked " << stream.asked << ", whole " << stream.whole
            << ", refused " << stream.refused << ", broken " << stream.broken << ", violations "
            << stream.violations << ", tokens/s "
            << static_cast<double>(stream.tokens) / report.seconds << "\n";
        show("first token   ", stream.firstToken);
        show("between tokens", stream.betweenTokens);
        show("whole answer  ", stream.wholeAnswer);
    }
    return out.str();
}

auto toJson(const load_report &report) -> std::string
{
    json::array streams;
    for (const auto &stream : report.streams) {
        streams.push_back(json::object{{"name", stream.name},
                                       {"asked", stream.asked},
                                       {"whole", stream.whole},
                                       {"refused", stream.refused},
                                       {"broken", stream.broken},
                                       {"violations", stream.violations},
                                       {"tokens", stream.tokens},
                                       {"first_token", toJsonValue(stream.firstToken)},
                                       {"between_tokens", toJsonValue(stream.betweenTokens)},
                                       {"whole_answer", toJsonValue(stream.wholeAnswer)}});
    }
    return json::serialize(json::object{{"seconds", report.seconds},
                                        {"most_open", report.mostOpen},
                                        {"streams", std::move(streams)}});
}

} // namespace marjoram
