#include "framework/ring/duty.h"

#include <pthread.h>
#include <utility>

namespace marjoram {

namespace {

constexpr std::size_t THREAD_NAME_LIMIT = 15;

} // namespace

duty::duty(std::string name)
    : m_name(std::move(name))
{
    m_name.resize(std::min(m_name.size(), THREAD_NAME_LIMIT));
}

duty::~duty()
{
    stop();
}

auto duty::start() -> void
{
    m_guard.emplace(m_context.get_executor());
    m_thread = std::thread([this] {
        ::pthread_setname_np(::pthread_self(), m_name.c_str());
        m_context.run();
    });
}

auto duty::requestStop() -> void
{
    m_context.stop();
}

auto duty::stop() -> void
{
    m_guard.reset();
    requestStop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace marjoram
