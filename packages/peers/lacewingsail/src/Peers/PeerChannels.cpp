#include <lacewingsail/PeerCalls.h>

#include "MessageSize.h"

namespace lacewingsail {

namespace internal {

    constexpr int longestReconnectMilliseconds = 1000;
    constexpr int firstReconnectMilliseconds = 100;
    // A host with a tenth of a core to which many others connect at the same time takes some hundred milliseconds to answer.
    constexpr int connectTimeoutMilliseconds = 500;

} // namespace internal

std::shared_ptr<grpc::Channel> PeerChannels::to(const Endpoint& endpoint)
{
    const std::lock_guard lock(m_mutex);
    auto& channel = m_channels[endpoint];
    if (!channel) {
        grpc::ChannelArguments arguments;
        // A peer that was cut off must be heard again within seconds, not after gRPC's default of minutes.
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, internal::longestReconnectMilliseconds);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, internal::firstReconnectMilliseconds);
        // gRPC's name for the timeout of an attempt to connect.
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, internal::connectTimeoutMilliseconds);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(internal::largestMessage);
        channel = grpc::CreateCustomChannel(text(endpoint), grpc::InsecureChannelCredentials(), arguments);
    }
    return channel;
}

} // namespace lacewingsail
