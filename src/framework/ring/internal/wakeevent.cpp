#include "framework/ring/ring.h"

#include <cerrno>
#include <sys/eventfd.h>
#include <unistd.h>

namespace marjoram {

wake_event::wake_event()
    : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0) {
        throw std::system_error(errno, std::generic_category());
    }
}

wake_event::~wake_event()
{
    ::close(m_descriptor);
}

auto wake_event::signal() const -> void
{
    ::eventfd_write(m_descriptor, 1);
}

auto wake_event::clear() const -> void
{
    eventfd_t ignored = 0;
    ::eventfd_read(m_descriptor, &ignored);
}

} // namespace marjoram
