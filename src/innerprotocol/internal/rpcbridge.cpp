#include "innerprotocol/rpcbridge.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <memory>
#include <sstream>

namespace marjoram {

namespace {

auto toText(const Json::Value &value) -> std::string
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

auto parse(const std::string &text, Json::Value &value) -> bool
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
}

/// Keeps the response in memory: transport is the link's business.
class memory_connector : public jsonrpc::AbstractServerConnector
{
public:
    auto StartListening() -> bool override { return true; }
    auto StopListening() -> bool override { return true; }
    auto SendResponse(const std::string &response, void *) -> bool override
    {
        m_response = response;
        return true;
    }
    auto answer(const std::string &request) -> std::string
    {
        m_response.clear();
        OnRequest(request);
        return m_response;
    }

private:
    std::string m_response;
};

/// Hands a request out and a stored reply in.
class split_connector : public jsonrpc::IClientConnector
{
public:
    explicit split_connector(std::string reply)
        : m_reply(std::move(reply))
    { }
    // A dynamic exception specification cannot follow a trailing return type.
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_request = message;
        result = m_reply;
    }
    auto request() const -> const std::string & { return m_request; }

private:
    std::string m_reply;
    std::string m_request;
};

} // namespace

/// Dispatches by name to the owner's handler.
struct rpc_server::impl : public jsonrpc::AbstractServer<rpc_server::impl>
{
    impl(memory_connector &transport, const char *const *names, int count,
         rpc_server::handler handle, void *owner)
        : jsonrpc::AbstractServer<rpc_server::impl>(transport)
        , connector(transport)
        , handle(handle)
        , owner(owner)
    {
        for (int i = 0; i < count; ++i) {
            methods.emplace_back(names[i]);
            bindAndAddMethod(
                jsonrpc::Procedure(names[i], jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
                &impl::unused);
        }
    }
    auto unused(const Json::Value &, Json::Value &) -> void { }
    auto HandleMethodCall(jsonrpc::Procedure &called, const Json::Value &input, Json::Value &output)
        -> void override
    {
        for (std::size_t i = 0; i < methods.size(); ++i) {
            if (methods[i] == called.GetProcedureName()) {
                parse(handle(owner, static_cast<int>(i), toText(input)), output);
            }
        }
    }

    memory_connector &connector;
    rpc_server::handler handle;
    void *owner;
    std::vector<std::string> methods;
};

rpc_server::rpc_server(const char *const *names, int count, handler handle, void *owner)
    : m_impl(new impl(*new memory_connector, names, count, handle, owner))
{ }

rpc_server::~rpc_server()
{
    auto *connector = &m_impl->connector;
    delete m_impl;
    delete connector;
}

auto rpc_server::answer(const std::string &request) -> std::string
{
    return m_impl->connector.answer(request);
}

auto encodeRpcCall(const std::string &method, const std::string &params) -> std::string
{
    Json::Value value;
    parse(params, value);
    split_connector connector(R"({"jsonrpc":"2.0","id":1,"result":{}})");
    jsonrpc::Client client(connector);
    client.CallMethod(method, value);
    return connector.request();
}

auto decodeRpcReply(const std::string &reply, std::string &result) -> bool
{
    split_connector connector(reply);
    jsonrpc::Client client(connector);
    try {
        result = toText(client.CallMethod("reply", Json::Value()));
    } catch (const jsonrpc::JsonRpcException &) {
        return false;
    }
    return true;
}

} // namespace marjoram
