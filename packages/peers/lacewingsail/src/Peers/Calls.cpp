#include <lacewingsail/PeerCalls.h>

namespace lacewingsail {

namespace internal {

    constexpr const char* secretField = "lacewingsail-fleet";

    bool equalInConstantTime(std::string_view left, std::string_view right)
    {
        unsigned difference = left.size() == right.size() ? 0 : 1;
        for (std::size_t index = 0; index < left.size(); ++index)
            difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(index < right.size() ? right[index] : 0);
        return difference == 0;
    }

} // namespace internal

void prepareCall(grpc::ClientContext& context, const std::string& fleetSecret, std::chrono::milliseconds timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    context.AddMetadata(internal::secretField, fleetSecret);
}

bool isFromFleet(const grpc::ServerContext& context, const std::string& fleetSecret)
{
    const auto found = context.client_metadata().find(internal::secretField);
    if (found == context.client_metadata().end())
        return false;
    return internal::equalInConstantTime(std::string_view(found->second.data(), found->second.size()), fleetSecret);
}

grpc::Status notFromFleet() { return { grpc::StatusCode::PERMISSION_DENIED, "not a host of the fleet" }; }

} // namespace lacewingsail
