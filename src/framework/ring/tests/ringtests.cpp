#include "framework/ring/bytebudget.h"
#include "framework/ring/duty.h"
#include "framework/ring/ringends.h"

#include <doctest/doctest.h>
#include <future>
#include <stdexcept>
#include <string>

using namespace marjoram;

namespace {

constexpr int ITEM_COUNT = 200'000;

struct summing_consumer
{
    auto handle(int &&item) -> void
    {
        inOrder = inOrder && item == received;
        if (++received == ITEM_COUNT) {
            done.set_value();
        }
    }
    int received = 0;
    bool inOrder = true;
    std::promise<void> done;
};

/// Puts blocks into a ring, and waits whenever the budget is used up.
class lease_producer
{
public:
    static constexpr int BLOCKS = 20'000;
    static constexpr std::size_t BLOCK_BYTES = 64;

    lease_producer(boost::asio::io_context &context, byte_budget &budget, ring<byte_lease> &blocks)
        : m_budget(budget)
        , m_blocks(blocks)
        , m_space(context, budget.space().descriptor())
    { }
    ~lease_producer() { m_space.release(); }

    auto produce() -> void
    {
        while (m_sent < BLOCKS && !m_budget.exhausted()) {
            REQUIRE_FALSE(m_blocks.tryPush(m_budget.hold(BLOCK_BYTES)));
            ++m_sent;
        }
        if (m_sent == BLOCKS) {
            return;
        }
        if (!m_budget.awaitSpace()) {
            m_budget.space().signal();
        }
        m_space.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](boost::system::error_code) {
                               m_budget.space().clear();
                               produce();
                           });
    }
    auto sent() const -> int { return m_sent; }

private:
    byte_budget &m_budget;
    ring<byte_lease> &m_blocks;
    boost::asio::posix::stream_descriptor m_space;
    int m_sent = 0;
};

struct lease_consumer
{
    auto handle(byte_lease &&block) -> void
    {
        block.reset();
        if (++received == lease_producer::BLOCKS) {
            done.set_value();
        }
    }
    int received = 0;
    std::promise<void> done;
};

/// Fails on every third item.
struct failing_consumer
{
    auto handle(std::string &&item) -> void
    {
        if (item == "last") {
            done.set_value();
            return;
        }
        if (++received % 3 == 0) {
            throw std::length_error(item);
        }
        ++handled;
    }
    int received = 0;
    int handled = 0;
    std::promise<void> done;
};

} // namespace

TEST_CASE("a full ring refuses with a type and keeps the item")
{
    ring<std::string> r(2);
    CHECK(!r.tryPush("a"));
    CHECK(!r.tryPush("b"));
    std::string third = "c";
    CHECK(r.tryPush(std::move(third)) == ring_error::full);
    CHECK(third == "c");
    std::string out;
    CHECK(r.tryPop(out));
    CHECK(out == "a");
    CHECK(!r.tryPush(std::move(third)));
}

TEST_CASE("two duties pass every item once and in order through a small ring")
{
    ring<int> r(16);
    summing_consumer consumer;
    duty producing("producer");
    duty consuming("consumer");
    ring_reader<int, summing_consumer> reader(consuming.context(), r, consumer);
    ring_writer<int> writer(producing.context(), r, ITEM_COUNT);
    reader.start();
    boost::asio::post(producing.context(), [&] {
        for (int i = 0; i < ITEM_COUNT; ++i) {
            REQUIRE(!writer.push(i));
        }
    });
    producing.start();
    consuming.start();
    consumer.done.get_future().wait();
    producing.stop();
    consuming.stop();
    CHECK(consumer.received == ITEM_COUNT);
    CHECK(consumer.inOrder);
}

TEST_CASE("a writer whose backlog is full refuses instead of growing")
{
    ring<int> r(1);
    boost::asio::io_context context;
    ring_writer<int> writer(context, r, 2);
    CHECK(!writer.push(1));
    CHECK(!writer.push(2));
    CHECK(!writer.push(3));
    CHECK(writer.push(4) == ring_error::full);
    CHECK(writer.congested());
}

// One unexpected error while a message was handled left the loop of its duty and ended the process
// with all that it was serving.
TEST_CASE("an error while an item is handled ends the duty")
{
    constexpr int ITEMS = 30;
    ring<std::string> r(64);
    failing_consumer consumer;
    duty worker("failing");
    ring_reader<std::string, failing_consumer> reader(worker.context(), r, consumer);
    for (int i = 0; i < ITEMS; ++i) {
        REQUIRE(!r.tryPush("item"));
    }
    REQUIRE(!r.tryPush("last"));
    reader.start();
    worker.start();
    const auto ended = consumer.done.get_future().wait_for(std::chrono::seconds(20));
    worker.stop();
    CHECK(ended == std::future_status::ready);
    CHECK(consumer.received == ITEMS);
    CHECK(consumer.handled == ITEMS * 2 / 3);
}

// A ring bounds the number of its items; a few large ones took more memory than the process has.
TEST_CASE("bytes that were passed on are held without a limit")
{
    constexpr std::size_t LIMIT_BYTES = 100;
    byte_budget budget(LIMIT_BYTES);
    auto first = budget.hold(60);
    CHECK_FALSE(budget.exhausted());
    auto second = budget.hold(60);
    const auto copy = second;
    CHECK(budget.exhausted());
    CHECK(budget.awaitSpace());
    second.reset();
    CHECK(budget.held() == 120);
    first.reset();
    CHECK(budget.held() == 60);
    // The producer sleeps until half of the limit is free.
    CHECK(budget.awaitSpace());
}

TEST_CASE("a producer that waits for bytes to be handled is not woken")
{
    byte_budget budget(16 * lease_producer::BLOCK_BYTES);
    ring<byte_lease> blocks(lease_producer::BLOCKS);
    lease_consumer consumer;
    duty consuming("consumer");
    ring_reader<byte_lease, lease_consumer> reader(consuming.context(), blocks, consumer);
    reader.start();
    consuming.start();
    boost::asio::io_context context;
    lease_producer producer(context, budget, blocks);
    producer.produce();
    context.run();
    consumer.done.get_future().wait();
    consuming.stop();
    CHECK(producer.sent() == lease_producer::BLOCKS);
    CHECK(budget.held() == 0);
}
