#include "app/daemon.h"
#include "configuration/controlmessages.h"
#include "framework/http/httptypes.h"
#include "innerprotocol/framecodec.h"
#include "innerprotocol/rpcbridge.h"
#include "manifest/manifestreader.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr auto USAGE = R"(marjoram-ctl: looks at running processes and checks manifests.

Usage:
  marjoram-ctl check MANIFEST
  marjoram-ctl status ADDRESS...
  marjoram-ctl digest CREDENTIAL
  marjoram-ctl --help
  marjoram-ctl --version

Commands:
  check    Name every fault of a manifest with its JSON path; exit code 1 if any.
  status   Ask processes, by the IP:PORT of their inner listeners, for their
           health, versions in force, queues, and whether they are leaving.
  digest   Print the SHA-256 of a credential, as a manifest wants it.
)";

using namespace marjoram;
using boost::asio::ip::tcp;

constexpr int EXIT_FAULTS = 1;
constexpr std::uint64_t STATUS_EXCHANGE = 1;

auto check(const std::string &file) -> int
{
    document_faults faults;
    const auto text = readFile(file);
    if (!text) {
        return refuseFile(file, {"$", document_error::unreadable_file, text.error().message()});
    }
    const auto read = readManifest(*text, faults);
    for (const auto &fault : faults) {
        refuseFile(file, fault);
    }
    if (!read) {
        return EXIT_FAULTS;
    }
    std::cout << file << ": sound, version " << read->version << ", " << read->teams.size()
              << " teams, " << read->models.size() << " models, " << read->services.size()
              << " services, " << read->backendServers.size() << " backend servers" << std::endl;
    return 0;
}

auto receive(tcp::socket &socket, boost::system::error_code &error) -> result<frame>
{
    std::string prefix(FRAME_PREFIX_BYTES, '\0');
    boost::asio::read(socket, boost::asio::buffer(prefix), error);
    if (error) {
        return std::error_code(error);
    }
    const auto length = decodePrefix(prefix, FRAME_LIMIT_BYTES);
    if (!length) {
        return length.error();
    }
    std::string bytes(*length, '\0');
    boost::asio::read(socket, boost::asio::buffer(bytes), error);
    if (error) {
        return std::error_code(error);
    }
    return decodeFrame(bytes);
}

auto askStatus(const endpoint &where) -> result<status_message>
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(where.address), where.port}, error);
    if (error) {
        return std::error_code(error);
    }
    std::string out;
    encodeFrame(hello_frame{.role = process_role::operator_tool, .host = "marjoram-ctl"}, out);
    encodeFrame(control_frame{.exchangeId = STATUS_EXCHANGE, .text = encodeRpcCall("status", "{}")},
                out);
    boost::asio::write(socket, boost::asio::buffer(out), error);
    while (!error) {
        const auto message = receive(socket, error);
        if (!message) {
            return message.error();
        }
        const auto *control = std::get_if<control_frame>(&*message);
        if (!control || control->exchangeId != STATUS_EXCHANGE || !control->reply) {
            continue;
        }
        std::string text;
        if (!decodeRpcReply(control->text, text)) {
            return errorCode(codec_error::malformed);
        }
        return parseStatus(text);
    }
    return std::error_code(error);
}

auto showStatus(const std::string &address) -> int
{
    const auto where = parseEndpoint(address);
    const auto status = where ? askStatus(*where) : result<status_message>(where.error());
    if (!status) {
        std::cout << address << ": unreachable (" << status.error().message() << ")" << std::endl;
        return EXIT_FAULTS;
    }
    std::cout << address << ": " << status->role << " " << status->host << " "
              << (status->ready ? "ready" : "not-ready") << (status->leaving ? " leaving" : "");
    for (const auto &row : namesOf(document_kind{})) {
        std::cout << " " << row.name << "="
                  << status->versions[static_cast<std::size_t>(row.value)];
    }
    for (const auto &number : status->numbers) {
        std::cout << " " << number.name << "=" << number.value;
    }
    std::cout << std::endl;
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "marjoram 0.1.0");
    if (arguments.at("check").asBool()) {
        return check(arguments.at("MANIFEST").asString());
    }
    if (arguments.at("digest").asBool()) {
        std::cout << sha256Hex(arguments.at("CREDENTIAL").asString()) << std::endl;
        return 0;
    }
    int exitCode = 0;
    for (const auto &address : arguments.at("ADDRESS").asStringList()) {
        exitCode = std::max(exitCode, showStatus(address));
    }
    return exitCode;
}
