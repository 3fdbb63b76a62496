#include "app/daemon.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>

namespace marjoram {

auto startLog(const char *program) -> void
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
    std::signal(SIGPIPE, SIG_IGN);
}

auto refuseFile(const std::string &file, const document_fault &fault) -> int
{
    std::cerr << file << ": " << toText(fault) << std::endl;
    return EXIT_SETTINGS;
}

auto refuseAddress(const std::string &file, const std::string &path, const std::string &address,
                   std::error_code error) -> int
{
    std::cerr << file << ": " << path << ": cannot listen on " << address << " (" << error.message()
              << ")" << std::endl;
    return EXIT_ADDRESS;
}

} // namespace marjoram
