#include "serverviews/serverentry.h"

#include <boost/asio/ip/address_v4.hpp>

namespace marjoram {

auto isAddressable(const server_entry &entry) -> bool
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(entry.address.address, error);
    const auto ofOneHost = !error && !address.is_unspecified() && !address.is_multicast()
                           && address != boost::asio::ip::address_v4::broadcast();
    return ofOneHost && entry.address.port != 0 && isPlainToken(entry.id);
}

} // namespace marjoram
