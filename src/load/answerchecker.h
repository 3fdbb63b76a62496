#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoram {

/// Checks a stream of "sample.index " tokens as the stand-in engine makes them: one sample, each
/// index once and in order. Not thread safe.
class answer_checker
{
public:
    /// Adds text; false once something is wrong.
    auto feed(std::string_view text) -> bool
    {
        m_rest.append(text);
        for (auto space = m_rest.find(' '); space != std::string::npos; space = m_rest.find(' ')) {
            take(std::string_view(m_rest).substr(0, space));
            m_rest.erase(0, space + 1);
        }
        return m_sound;
    }
    auto sound() const -> bool { return m_sound && m_rest.empty(); }
    auto tokens() const -> std::uint64_t { return m_next; }

private:
    auto take(std::string_view token) -> void
    {
        const auto dot = token.find('.');
        std::uint64_t index = 0;
        const auto digits = token.substr(dot == std::string_view::npos ? token.size() : dot + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), index);
        if (m_next == 0) {
            m_sample = token.substr(0, dot);
        }
        m_sound = m_sound && parsed.ec == std::errc{} && index == m_next
                  && token.substr(0, dot) == m_sample;
        ++m_next;
    }

    std::string m_rest;
    std::string m_sample;
    std::uint64_t m_next = 0;
    bool m_sound = true;
};

} // namespace marjoram
