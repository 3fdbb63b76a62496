#pragma once

#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"
#include "framework/tracing/span.h"

#include <fstream>
#include <memory>
#include <vector>

namespace marjoram {

/// Options of the span-writing duty.
struct span_duty_options
{
    std::string service;
    /// File or device that takes the lines; empty writes nothing.
    std::string output;
    std::size_t ringCapacity = 4096;
};

/// Duty that writes finished spans as OTLP/JSON lines.
class span_duty
{
public:
    explicit span_duty(span_duty_options options);
    ~span_duty();

    /// Ring for one producing duty; spans that find it full are lost and counted by the producer.
    /// Precondition: called before start().
    auto addProducer() -> ring<span> &;
    auto start() -> void;
    auto stop() -> void;
    /// Called by the ring readers on the duty's thread.
    auto handle(span &&finished) -> void;

private:
    span_duty_options m_options;
    std::ofstream m_output;
    std::vector<std::unique_ptr<ring<span>>> m_rings;
    duty m_duty{"spans"};
    std::vector<std::unique_ptr<ring_reader<span, span_duty>>> m_readers;
};

} // namespace marjoram
