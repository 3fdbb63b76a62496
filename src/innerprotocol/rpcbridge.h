#pragma once

#include <string>

// This header is included by a C++14 translation unit: libjsonrpccpp's own headers use dynamic
// exception specifications, which C++17 removed. It names none of that library's types.

namespace marjoram {

/// Answers JSON-RPC 2.0 requests through libjsonrpccpp. `params` and the returned result are JSON
/// texts. Not thread safe: belongs to one duty.
class rpc_server
{
public:
    /// Called with the number of a method and its parameters; returns the result.
    using handler = auto(*)(void *owner, int method, const std::string &params) -> std::string;

    /// `names`: `count` method names, numbered from 0. Precondition: all arguments outlive the
    /// server.
    rpc_server(const char *const *names, int count, handler handle, void *owner);
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    auto operator=(const rpc_server &) -> rpc_server & = delete;

    /// Response to a request; a JSON-RPC error object for anything malformed.
    auto answer(const std::string &request) -> std::string;

private:
    struct impl;
    impl *m_impl;
};

/// Text of a JSON-RPC 2.0 request. `params` is the JSON text of an object. Thread safe.
auto encodeRpcCall(const std::string &method, const std::string &params) -> std::string;

/// Takes the result out of a response as JSON text; false for an error or anything malformed.
/// Thread safe.
auto decodeRpcReply(const std::string &reply, std::string &result) -> bool;

} // namespace marjoram
