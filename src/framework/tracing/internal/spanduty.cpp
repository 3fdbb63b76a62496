#include "framework/tracing/spanduty.h"

namespace marjoram {

span_duty::span_duty(span_duty_options options)
    : m_options(std::move(options))
{
    if (!m_options.output.empty()) {
        m_output.open(m_options.output, std::ios::app);
    }
}

span_duty::~span_duty()
{
    stop();
}

auto span_duty::addProducer() -> ring<span> &
{
    m_rings.push_back(std::make_unique<ring<span>>(m_options.ringCapacity));
    auto &added = *m_rings.back();
    m_readers.push_back(
        std::make_unique<ring_reader<span, span_duty>>(m_duty.context(), added, *this));
    return added;
}

auto span_duty::start() -> void
{
    for (auto &reader : m_readers) {
        reader->start();
    }
    m_duty.start();
}

auto span_duty::stop() -> void
{
    m_duty.stop();
}

auto span_duty::handle(span &&finished) -> void
{
    if (m_output.is_open()) {
        m_output << toOtlpLine(finished, m_options.service) << std::endl;
    }
}

} // namespace marjoram
