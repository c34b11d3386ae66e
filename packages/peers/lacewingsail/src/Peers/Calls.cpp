#include <lacewingsail/Observe.h>
#include <lacewingsail/PeerCalls.h>

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/impl/codegen/proto_utils.h>

#include <utility>

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

// The generated stubs report success for an answer without a message, or with one that cannot be parsed, if the call does not block.
void startCall(const std::shared_ptr<grpc::Channel>& channel, grpc::ClientContext& context, std::string_view service, std::string_view method,
    const google::protobuf::Message& request, google::protobuf::Message& reply, std::function<void(bool answered)> onEnd)
{
    using Message = google::protobuf::Message;
    std::string path("/");
    path.append(service).append("/").append(method);
    auto bytes = std::make_shared<grpc::ByteBuffer>();
    grpc::TemplatedGenericStub<Message, grpc::ByteBuffer> stub(channel);
    stub.UnaryCall(&context, path, {}, &request, bytes.get(), [&context, &reply, path, bytes, onEnd = std::move(onEnd)](const grpc::Status& status) {
        bool answered = status.ok();
        if (answered && !(bytes->Valid() && grpc::SerializationTraits<Message>::Deserialize(bytes.get(), &reply).ok())) {
            log(Event("response-refused").with("request", path).with("server", context.peer()).with("reason", "no valid message"));
            answered = false;
        }
        onEnd(answered);
    });
}

grpc::Status notFromFleet() { return { grpc::StatusCode::PERMISSION_DENIED, "not a host of the fleet" }; }

} // namespace lacewingsail
