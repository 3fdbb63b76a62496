#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <ctime>

namespace marjoram {

/// Monotonic time in microseconds since an arbitrary start.
struct time_us
{
    std::int64_t value = 0;

    friend auto operator<=>(const time_us &, const time_us &) -> std::strong_ordering = default;
    friend auto operator+(time_us a, std::int64_t us) -> time_us { return {a.value + us}; }
    friend auto operator-(time_us a, time_us b) -> std::int64_t { return a.value - b.value; }
};

inline constexpr std::int64_t NS_PER_US = 1'000;
inline constexpr std::int64_t US_PER_MS = 1'000;
inline constexpr std::int64_t US_PER_SECOND = 1'000'000;
inline constexpr std::int64_t MS_PER_SECOND = 1'000;
inline constexpr std::int64_t SECONDS_PER_YEAR = 31'536'000;
/// Bound on durations that come from outside the process; sums of a few stay in range.
inline constexpr std::int64_t MAX_DURATION_MS = 100 * SECONDS_PER_YEAR * MS_PER_SECOND;

/// Converts a duration that comes from outside the process, limited to MAX_DURATION_MS either way.
/// Thread safe.
constexpr auto toUs(std::int64_t ms) -> std::int64_t
{
    return std::clamp(ms, -MAX_DURATION_MS, MAX_DURATION_MS) * US_PER_MS;
}

/// Time from `now` until `when`; zero if that is in the past.
inline auto durationUntil(time_us when, time_us now) -> std::chrono::microseconds
{
    return std::chrono::microseconds(std::max<std::int64_t>(0, when - now));
}

/// Source of monotonic and wall-clock time for decision code.
template <typename C>
concept clock_source = requires(const C &clock)
{
    {
        clock.now()
        } -> std::same_as<time_us>;
    {
        clock.unixMs()
        } -> std::same_as<std::int64_t>;
};

/// The machine's clocks. Monotonic time goes on while the machine is suspended, which the time of
/// std::chrono::steady_clock does not: time points of the two cannot be mixed. Thread safe.
class system_clock_source
{
public:
    auto now() const -> time_us
    {
        timespec since{};
        ::clock_gettime(CLOCK_BOOTTIME, &since);
        return {since.tv_sec * US_PER_SECOND + since.tv_nsec / NS_PER_US};
    }
    auto unixMs() const -> std::int64_t
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }
};

/// Virtual time, advanced by its owner and shared by pointer. Not thread safe.
class virtual_clock_source
{
public:
    struct state
    {
        time_us now;
        std::int64_t unixStartMs = 1'800'000'000'000;
    };

    /// Precondition: `shared` outlives the clock.
    explicit virtual_clock_source(const state *shared)
        : m_state(shared)
    { }
    auto now() const -> time_us { return m_state->now; }
    auto unixMs() const -> std::int64_t
    {
        return m_state->unixStartMs + m_state->now.value / US_PER_MS;
    }

private:
    const state *m_state;
};

} // namespace marjoram
